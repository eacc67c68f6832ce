package entryfile

import (
	"fmt"
	"strings"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/change"
	"github.com/azurethread/azurethread/decide/fleet"
)

// The limits of a file. The YAML parser is recursive, so nesting is checked
// before it runs: a file of opening brackets would otherwise exhaust the
// stack, which ends the process instead of returning an error.
const (
	MaxSize  = 1 << 20 // bytes
	maxDepth = 64      // bracket nesting and indentation steps
)

// File is the content of an entry file.
type File struct {
	Services []catalogue.Service
	Shifts   []change.Entry
}

// Error is one error in a file.
type Error struct {
	Line    int    `json:"line"` // 1-based; 0: the file as a whole
	Path    string `json:"path"` // such as "shifts[0].limits.max_share"; "" for the file
	Message string `json:"message"`
}

// Error implements error.
func (e Error) Error() string {
	text := e.Message
	if e.Path != "" {
		text = e.Path + ": " + text
	}
	if e.Line > 0 {
		text = fmt.Sprintf("line %d: %s", e.Line, text)
	}
	return text
}

// Errors lists all errors in a file in the order of its lines.
type Errors []Error

// Error implements error, with one line for each error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, x := range e {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// Parse parses a file and validates its content. Shifts may refer to services
// of the file and to those for which known returns true; if known is nil, every
// service is assumed to exist. The error is an Errors.
func Parse(data []byte, known change.ServiceExists) (File, error) {
	var d decoder
	f := d.decodeFile(data)
	if !d.unreadable {
		d.check(f, known)
	}
	if len(d.errs) > 0 {
		return File{}, d.sortedErrors()
	}
	return f, nil
}

// check applies the rules of the catalogue, and rejects names that occur twice
// in the file.
func (d *decoder) check(f File, known change.ServiceExists) {
	services := make(map[fleet.ServiceName]bool, len(f.Services))
	for i, s := range f.Services {
		path := fmt.Sprintf("services[%d]", i)
		d.addFieldErrors(path, change.CheckService(s))
		if s.Name != "" && services[s.Name] {
			d.addErrorAt(path+".name", "service %q is listed twice in this file", s.Name)
		}
		services[s.Name] = true
	}
	ids := make(map[string]bool, len(f.Shifts))
	for i, e := range f.Shifts {
		path := fmt.Sprintf("shifts[%d]", i)
		d.addFieldErrors(path, change.CheckEntry(e, func(n fleet.ServiceName) bool {
			return services[n] || known == nil || known(n)
		}))
		if e.ID != "" && ids[e.ID] {
			d.addErrorAt(path+".id", "shift %q is listed twice in this file", e.ID)
		}
		ids[e.ID] = true
	}
}

// addFieldErrors adds the errors of a check, except those of fields that could
// not be read and therefore have zero values.
func (d *decoder) addFieldErrors(path string, errs []change.FieldError) {
	for _, e := range errs {
		at := path + "." + e.Path
		if !d.hasError(at) {
			d.addErrorAt(at, "%s", e.Message)
		}
	}
}
