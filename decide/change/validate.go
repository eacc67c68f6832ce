package change

import (
	"fmt"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Bounds on texts and times. They keep a single entry from filling the
// platform's 1 MB value or blocking a caller indefinitely.
const (
	MaxNameLen   = 64
	MaxReasonLen = 512
	MaxTimeout   = 10 * time.Minute
	MaxInterval  = 24 * time.Hour
)

// ServiceExists reports whether a service is in the catalogue.
type ServiceExists func(fleet.ServiceName) bool

// fieldErrors collects the invalid fields of one check.
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

func (f *fieldErrors) checkDuration(path string, d catalogue.Duration, maximum time.Duration) {
	if d < 0 || time.Duration(d) > maximum {
		f.add(path, "must be between 0s and %s", maximum)
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

// CheckService returns all invalid fields of s.
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

// CheckEntry returns all invalid fields of e. exists reports which services it
// may refer to.
func CheckEntry(e Entry, exists ServiceExists) []FieldError {
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
	if e.Service != "" && !exists(e.Service) {
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
	// An unset step gets a default, which may exceed a small cap; the cap then
	// limits it. Only a step that is set is compared with the cap.
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

// checkOperation returns an *Invalid with all invalid fields of o. Its payload is
// checked only if the other fields are valid.
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
	payloads := 0
	for _, b := range []bool{
		o.PutService != nil, o.RemoveService != nil, o.AddShift != nil,
		o.ChangeShift != nil, o.Shift != nil, o.Advance != nil,
	} {
		if b {
			payloads++
		}
	}
	matches := false
	switch o.Kind {
	case KindPutService:
		matches = o.PutService != nil
	case KindRemoveService:
		matches = o.RemoveService != nil
	case KindAddShift:
		matches = o.AddShift != nil
	case KindChangeShift:
		matches = o.ChangeShift != nil
	case KindApprove, KindStart, KindPause, KindResume, KindRollBack, KindRemove:
		matches = o.Shift != nil
	case KindAdvance:
		matches = o.Advance != nil
	default:
		f.add("kind", "unknown kind %q", o.Kind)
		return
	}
	if !matches || payloads != 1 {
		f.add("kind", "%q needs its own payload and no other", o.Kind)
	}
}

func checkContent(c *catalogue.Catalogue, o Operation) []FieldError {
	exists := func(n fleet.ServiceName) bool {
		_, ok := c.Service(n)
		return ok
	}
	switch {
	case o.PutService != nil:
		return CheckService(o.PutService.Service)
	case o.AddShift != nil:
		return CheckEntry(o.AddShift.Entry, exists)
	case o.ChangeShift != nil:
		return CheckEntry(o.ChangeShift.Entry, exists)
	case o.Shift != nil && len(o.Shift.Reason) > MaxReasonLen:
		return []FieldError{{Path: "reason", Message: fmt.Sprintf("must be at most %d characters", MaxReasonLen)}}
	case o.Advance != nil && len(o.Advance.Hold) > MaxReasonLen:
		return []FieldError{{Path: "hold", Message: fmt.Sprintf("must be at most %d characters", MaxReasonLen)}}
	}
	return nil
}
