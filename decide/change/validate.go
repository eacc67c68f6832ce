package change

import (
	"fmt"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Bounds on text and times, chosen so that no single entry can fill the
// platform's 1 MB value or stall a caller for good.
const (
	MaxNameLen   = 64
	MaxReasonLen = 512
	MaxTimeout   = 10 * time.Minute
	MaxInterval  = 24 * time.Hour
)

// ServiceExists reports whether the catalogue has a service.
type ServiceExists func(fleet.ServiceName) bool

// fieldErrors collects what is wrong.
type fieldErrors []FieldError

func (f *fieldErrors) add(path, format string, args ...any) {
	*f = append(*f, FieldError{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (f *fieldErrors) checkName(path, s string) {
	if !isName(s) {
		f.add(path, "must be 1 to %d characters of a-z, 0-9, '-', '_' and '.', starting with a letter or digit", MaxNameLen)
	}
}

func (f *fieldErrors) checkShare(path string, s catalogue.Share) {
	if s > catalogue.ShareUnit {
		f.add(path, "must be at most %d", catalogue.ShareUnit)
	}
}

func (f *fieldErrors) checkDuration(path string, d catalogue.Duration, most time.Duration) {
	if d < 0 || time.Duration(d) > most {
		f.add(path, "must be between 0s and %s", most)
	}
}

func isName(s string) bool {
	if s == "" || len(s) > MaxNameLen {
		return false
	}
	for i := range len(s) {
		if !isNameByte(s[i], i == 0) {
			return false
		}
	}
	return true
}

func isNameByte(c byte, first bool) bool {
	switch {
	case 'a' <= c && c <= 'z', '0' <= c && c <= '9':
		return true
	case c == '-', c == '_', c == '.':
		return !first
	}
	return false
}

// CheckService returns everything that is wrong with s.
func CheckService(s catalogue.Service) []FieldError {
	var f fieldErrors
	f.checkName("name", string(s.Name))
	switch s.Priority {
	case "", catalogue.Interactive, catalogue.Deferrable:
	default:
		f.add("priority", "must be %q or %q", catalogue.Interactive, catalogue.Deferrable)
	}
	f.checkDuration("timeout", s.Timeout, MaxTimeout)
	return f
}

// CheckEntry returns everything that is wrong with e.
func CheckEntry(e Entry, known ServiceExists) []FieldError {
	var f fieldErrors
	f.checkName("id", e.ID)
	if e.Owner == "" || len(e.Owner) > MaxNameLen {
		f.add("owner", "must be 1 to %d characters", MaxNameLen)
	}
	switch e.Class {
	case catalogue.Rehearsal, catalogue.Maintenance, catalogue.Emergency:
	default:
		f.add("class", "must be %q, %q or %q", catalogue.Rehearsal, catalogue.Maintenance, catalogue.Emergency)
	}
	if e.Service != "" && !known(e.Service) {
		f.add("service", "no service %q in the catalogue", e.Service)
	}
	f.checkName("from", string(e.From))
	if e.To != "" {
		f.checkName("to", string(e.To))
	}
	if e.To != "" && e.To == e.From {
		f.add("to", "must differ from \"from\"")
	}
	f.checkLimits(e.Limits)
	return f
}

func (f *fieldErrors) checkLimits(l catalogue.Limits) {
	if l.MaxShare < 1 || l.MaxShare > catalogue.ShareUnit {
		f.add("limits.max_share", "must be stated, from 1 to %d", catalogue.ShareUnit)
	}
	// An unset step takes a default that may exceed a small cap; the cap
	// bounds it then. Only a stated one is compared.
	if l.Step > l.MaxShare {
		f.add("limits.step", "must be at most max_share (%d)", l.MaxShare)
	}
	f.checkShare("limits.min_headroom", l.MinHeadroom)
	f.checkShare("limits.max_error_share", l.MaxErrorShare)
	f.checkDuration("limits.interval", l.Interval, MaxInterval)
	f.checkDuration("limits.max_p99", l.MaxP99, MaxTimeout)
	if w := l.Window; !w.Start.IsZero() && !w.End.IsZero() && !w.Start.Before(w.End) {
		f.add("limits.window.end", "must be after limits.window.start")
	}
}

// checkOperation returns everything that is wrong with o's frame and with the
// content it carries.
func checkOperation(c *catalogue.Catalogue, o Operation) error {
	var f fieldErrors
	if o.ID == "" || len(o.ID) > MaxNameLen {
		f.add("id", "must be 1 to %d characters", MaxNameLen)
	}
	if o.Operator == "" || len(o.Operator) > MaxNameLen {
		f.add("operator", "must be 1 to %d characters", MaxNameLen)
	}
	f.checkPayload(o)
	if len(f) == 0 {
		f = append(f, checkContent(c, o)...)
	}
	if len(f) > 0 {
		return &Invalid{Fields: f}
	}
	return nil
}

func (f *fieldErrors) checkPayload(o Operation) {
	set := 0
	for _, b := range []bool{
		o.PutService != nil, o.RemoveService != nil, o.AddShift != nil,
		o.ChangeShift != nil, o.Shift != nil, o.Advance != nil,
	} {
		if b {
			set++
		}
	}
	right := false
	switch o.Kind {
	case KindPutService:
		right = o.PutService != nil
	case KindRemoveService:
		right = o.RemoveService != nil
	case KindAddShift:
		right = o.AddShift != nil
	case KindChangeShift:
		right = o.ChangeShift != nil
	case KindApprove, KindStart, KindPause, KindResume, KindRollBack, KindRemove:
		right = o.Shift != nil
	case KindAdvance:
		right = o.Advance != nil
	default:
		f.add("kind", "unknown kind %q", o.Kind)
		return
	}
	if !right || set != 1 {
		f.add("kind", "%q needs its own payload and no other", o.Kind)
	}
}

func checkContent(c *catalogue.Catalogue, o Operation) []FieldError {
	known := func(n fleet.ServiceName) bool {
		_, ok := c.Service(n)
		return ok
	}
	switch {
	case o.PutService != nil:
		return CheckService(o.PutService.Service)
	case o.AddShift != nil:
		return CheckEntry(o.AddShift.Entry, known)
	case o.ChangeShift != nil:
		return CheckEntry(o.ChangeShift.Entry, known)
	case o.Shift != nil && len(o.Shift.Reason) > MaxReasonLen:
		return []FieldError{{Path: "reason", Message: fmt.Sprintf("must be at most %d characters", MaxReasonLen)}}
	case o.Advance != nil && len(o.Advance.Hold) > MaxReasonLen:
		return []FieldError{{Path: "hold", Message: fmt.Sprintf("must be at most %d characters", MaxReasonLen)}}
	}
	return nil
}
