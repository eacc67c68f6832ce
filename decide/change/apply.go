package change

import (
	"slices"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Apply returns c with op applied, at the next revision. It never modifies c or
// anything that c refers to. An error is an *Invalid, a *Conflict or a *Refused,
// and the returned catalogue is then c itself.
func Apply(c catalogue.Catalogue, op Operation, now clock.Time) (catalogue.Catalogue, error) {
	if err := checkOperation(&c, op); err != nil {
		return c, err
	}
	next := c
	next.Revision = c.Revision + 1
	var err error
	switch op.Kind {
	case KindPutService:
		err = putService(&next, op)
	case KindRemoveService:
		err = removeService(&next, op)
	case KindAddShift:
		err = addShift(&next, op)
	case KindChangeShift:
		err = changeShift(&next, op)
	case KindAdvance:
		err = advance(&next, op, now)
	case KindRemove:
		err = removeShift(&next, op)
	default:
		err = transition(&next, op, now)
	}
	if err != nil {
		return c, err
	}
	return next, nil
}

func serviceIndex(c *catalogue.Catalogue, n fleet.ServiceName) int {
	return slices.IndexFunc(c.Services, func(s catalogue.Service) bool { return s.Name == n })
}

func shiftIndex(c *catalogue.Catalogue, id string) int {
	return slices.IndexFunc(c.Shifts, func(s catalogue.Shift) bool { return s.ID == id })
}

// withElement returns a copy of list with the element at i set to v, or with v
// appended if i is -1.
func withElement[T any](list []T, i int, v T) []T {
	out := make([]T, len(list), len(list)+1)
	copy(out, list)
	if i < 0 {
		return append(out, v)
	}
	out[i] = v
	return out
}

// withoutElement returns a copy of list without the element at i.
func withoutElement[T any](list []T, i int) []T {
	out := make([]T, 0, len(list)-1)
	out = append(out, list[:i]...)
	return append(out, list[i+1:]...)
}

func putService(c *catalogue.Catalogue, op Operation) error {
	s := op.PutService.Service
	i := serviceIndex(c, s.Name)
	if err := checkServiceRevision(c, i, op, op.PutService.Expect, &s); err != nil {
		return err
	}
	s.Revision = c.Revision
	c.Services = withElement(c.Services, i, s)
	return nil
}

func removeService(c *catalogue.Catalogue, op Operation) error {
	n := op.RemoveService.Name
	i := serviceIndex(c, n)
	if i < 0 || c.Services[i].Revision != op.RemoveService.Expect {
		return serviceConflict(c, i, op, op.RemoveService.Expect, nil)
	}
	for _, s := range c.Shifts {
		if s.Service == n {
			return refuse(InUse, "service", "shift %q names it", s.ID)
		}
	}
	c.Services = withoutElement(c.Services, i)
	return nil
}

// checkServiceRevision checks the revision expected by a put; 0 expects that the
// service doesn't exist.
func checkServiceRevision(c *catalogue.Catalogue, i int, op Operation, expect uint64, yours *catalogue.Service) error {
	var found uint64
	if i >= 0 {
		found = c.Services[i].Revision
	}
	if found == expect && (i < 0) == (expect == 0) {
		return nil
	}
	return serviceConflict(c, i, op, expect, yours)
}

func serviceConflict(c *catalogue.Catalogue, i int, op Operation, expect uint64, yours *catalogue.Service) error {
	e := &Conflict{Kind: op.Kind, Subject: op.Subject(), Expect: expect, YourService: yours}
	if i >= 0 {
		s := c.Services[i]
		e.Found, e.CurrentService = s.Revision, &s
	}
	return e
}

func shiftConflict(c *catalogue.Catalogue, i int, op Operation, expect uint64, yours *Entry) error {
	e := &Conflict{Kind: op.Kind, Subject: op.Subject(), Expect: expect, YourShift: yours}
	if i >= 0 {
		s := c.Shifts[i]
		e.Found, e.CurrentShift = s.Revision, &s
	}
	return e
}

// putShift stores s at index i, or appends it if i is -1, with the catalogue's
// revision.
func putShift(c *catalogue.Catalogue, i int, s catalogue.Shift) {
	s.Revision = c.Revision
	c.Shifts = withElement(c.Shifts, i, s)
}

func addShift(c *catalogue.Catalogue, op Operation) error {
	e := op.AddShift.Entry
	if i := shiftIndex(c, e.ID); i >= 0 {
		return shiftConflict(c, i, op, 0, &e)
	}
	putShift(c, -1, newDraft(e, op.Operator, c.Revision))
	return nil
}

func changeShift(c *catalogue.Catalogue, op Operation) error {
	e := op.ChangeShift.Entry
	i := shiftIndex(c, e.ID)
	if i < 0 || c.Shifts[i].Revision != op.ChangeShift.Expect {
		return shiftConflict(c, i, op, op.ChangeShift.Expect, &e)
	}
	old := c.Shifts[i]
	// If a moving shift kept running, it would do so under limits that nobody
	// approved; if it became a draft, its whole share would return in one step.
	if old.State.Moves() {
		return refuse(WrongState, "state", "a %s shift moves traffic; roll it back before changing it", old.State)
	}
	putShift(c, i, newDraft(e, op.Operator, c.Revision))
	return nil
}

// newDraft returns a draft with the content of e. Its generation is the catalogue
// revision, which only rises, so an entry that is removed and added again
// doesn't reuse an old generation.
func newDraft(e Entry, author string, generation uint64) catalogue.Shift {
	return catalogue.Shift{
		ID:         e.ID,
		Owner:      e.Owner,
		Author:     author,
		Class:      e.Class,
		Service:    e.Service,
		From:       e.From,
		To:         e.To,
		Limits:     e.Limits,
		State:      catalogue.Draft,
		Generation: generation,
	}
}

func removeShift(c *catalogue.Catalogue, op Operation) error {
	i := shiftIndex(c, op.Shift.ID)
	if i < 0 || c.Shifts[i].Revision != op.Shift.Expect {
		return shiftConflict(c, i, op, op.Shift.Expect, nil)
	}
	if s := c.Shifts[i].State; s == catalogue.Running || s == catalogue.Paused {
		return refuse(WrongState, "state", "a %s shift can't be removed; roll it back first", s)
	}
	c.Shifts = withoutElement(c.Shifts, i)
	return nil
}
