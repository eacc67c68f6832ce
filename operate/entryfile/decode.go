package entryfile

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/change"
	"github.com/azurethread/azurethread/decide/fleet"
)

// decoder walks the syntax tree and collects all errors. The library's own
// decoder stops at the first one.
type decoder struct {
	errs       Errors
	lines      map[string]int // line of every path read
	unreadable bool           // the text is not valid YAML; nothing was read
}

func (d *decoder) addError(line int, path, format string, args ...any) {
	d.errs = append(d.errs, Error{Line: line, Path: path, Message: fmt.Sprintf(format, args...)})
}

// addErrorAt adds an error at a path. The line of an absent field is that of
// the nearest enclosing mapping.
func (d *decoder) addErrorAt(path, format string, args ...any) {
	line := 0
	for p := path; p != "" && line == 0; p = parent(p) {
		line = d.lines[p]
	}
	d.addError(line, path, format, args...)
}

func parent(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

// hasError reports whether path or an enclosing mapping has an error.
func (d *decoder) hasError(path string) bool {
	return slices.ContainsFunc(d.errs, func(e Error) bool {
		return e.Path == path || (e.Path != "" && strings.HasPrefix(path, e.Path+"."))
	})
}

func (d *decoder) sortedErrors() Errors {
	slices.SortStableFunc(d.errs, func(a, b Error) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Path, b.Path))
	})
	return d.errs
}

// decodeFile decodes a complete file.
func (d *decoder) decodeFile(data []byte) File {
	d.lines = make(map[string]int)
	var f File
	root := d.parse(data)
	if root == nil {
		d.unreadable = true
		return f
	}
	d.decodeMapping(root, "", map[string]valueReader{
		"services": func(n ast.Node, path string) { f.Services = list(d, n, path, d.service) },
		"shifts":   func(n ast.Node, path string) { f.Shifts = list(d, n, path, d.shift) },
	})
	return f
}

// parse returns the body of the only document, or nil after an error.
func (d *decoder) parse(data []byte) ast.Node {
	if len(data) > MaxSize {
		d.addError(0, "", "the file is larger than %d bytes", MaxSize)
		return nil
	}
	if line := excessiveNestingLine(data); line > 0 {
		d.addError(line, "", "nested too deeply")
		return nil
	}
	// Duplicate keys are reported by decodePair, together with all other errors.
	f, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.addError(errorLine(err), "", "%s", syntaxMessage(err))
		return nil
	}
	var root ast.Node
	for _, doc := range f.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.CommentType {
			continue
		}
		if root != nil {
			d.addError(nodeLine(doc.Body), "", "a file must contain only one document")
			return nil
		}
		root = doc.Body
	}
	if root == nil {
		d.addError(0, "", "the file is empty")
	}
	return root
}

// excessiveNestingLine returns the line at which brackets or indentation
// exceed maxDepth, or 0. Brackets inside strings count too; real files do not
// have that many.
func excessiveNestingLine(data []byte) int {
	brackets, lineNo := 0, 1
	indent, atStart := 0, true
	for _, c := range data {
		switch {
		case c == '\n':
			lineNo++
			indent, atStart = 0, true
			continue
		case c == '[' || c == '{':
			brackets++
		case (c == ']' || c == '}') && brackets > 0:
			brackets--
		case atStart && (c == ' ' || c == '-' || c == '?' || c == '\t'):
			indent++
		}
		if atStart && c != ' ' && c != '-' && c != '?' && c != '\t' {
			atStart = false
		}
		if brackets > maxDepth || indent > 2*maxDepth {
			return lineNo
		}
	}
	return 0
}

func errorLine(err error) int {
	var e yaml.Error
	if errors.As(err, &e) && e.GetToken() != nil {
		return e.GetToken().Position.Line
	}
	return 0
}

func syntaxMessage(err error) string {
	var e yaml.Error
	if errors.As(err, &e) {
		return "not valid YAML or JSON: " + e.GetMessage()
	}
	return "not valid YAML or JSON: " + err.Error()
}

func nodeLine(n ast.Node) int {
	if t := n.GetToken(); t != nil && t.Position != nil {
		return t.Position.Line
	}
	return 0
}

// valueReader decodes the value of one key.
type valueReader func(n ast.Node, path string)

// decodeMapping decodes the value of each key with its reader.
func (d *decoder) decodeMapping(n ast.Node, path string, readers map[string]valueReader) {
	pairs, ok := pairsOf(n)
	if !ok {
		d.addError(nodeLine(n), path, "must be a mapping, not %s", kindName(n))
		return
	}
	seen := make(map[string]bool, len(pairs))
	for _, p := range pairs {
		d.decodePair(p, path, readers, seen)
	}
}

func (d *decoder) decodePair(p *ast.MappingValueNode, path string, readers map[string]valueReader, seen map[string]bool) {
	key, ok := keyOf(p)
	if !ok {
		d.addError(nodeLine(p.Key), path, "keys must be strings")
		return
	}
	at := join(path, key)
	read, known := readers[key]
	switch {
	case !known:
		d.addError(nodeLine(p.Key), at, "unknown key; known are %s", strings.Join(sortedKeys(readers), ", "))
	case seen[key]:
		d.addError(nodeLine(p.Key), at, "duplicate key")
	default:
		seen[key] = true
		d.lines[at] = nodeLine(p.Key)
		d.decodeValue(p.Value, at, read)
	}
}

// decodeValue rejects YAML features that entry files do not support, and passes
// any other node to read. A key without a value is treated as absent.
func (d *decoder) decodeValue(n ast.Node, path string, read valueReader) {
	switch n.(type) {
	case nil, *ast.NullNode:
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		d.addError(nodeLine(n), path, "anchors, aliases, merge keys and tags are not supported")
	default:
		read(n, path)
	}
}

func pairsOf(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}, true
	}
	return nil, false
}

func keyOf(p *ast.MappingValueNode) (string, bool) {
	s, ok := p.Key.(*ast.StringNode)
	if !ok {
		return "", false
	}
	return s.Value, true
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func sortedKeys(m map[string]valueReader) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// list decodes each element of a sequence.
func list[T any](d *decoder, n ast.Node, path string, read func(ast.Node, string) T) []T {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		d.addError(nodeLine(n), path, "must be a list, not %s", kindName(n))
		return nil
	}
	out := make([]T, 0, len(seq.Values))
	for i, v := range seq.Values {
		at := fmt.Sprintf("%s[%d]", path, i)
		var item T
		if v == nil {
			d.addErrorAt(at, "must be a mapping, not empty")
		} else {
			d.lines[at] = nodeLine(firstNode(v))
			d.decodeValue(v, at, func(n ast.Node, at string) { item = read(n, at) })
		}
		out = append(out, item)
	}
	return out
}

// firstNode returns the node at which v begins in the text. The token of a
// block mapping itself is the colon of its first pair.
func firstNode(v ast.Node) ast.Node {
	if pairs, ok := pairsOf(v); ok && len(pairs) > 0 {
		return pairs[0].Key
	}
	return v
}

func (d *decoder) service(n ast.Node, path string) catalogue.Service {
	var s catalogue.Service
	d.decodeMapping(n, path, map[string]valueReader{
		"name":           text(d, &s.Name),
		"idempotent":     d.boolean(&s.Idempotent),
		"priority":       text(d, &s.Priority),
		"timeout":        d.duration(&s.Timeout),
		"token_optional": d.boolean(&s.TokenOptional),
	})
	return s
}

func (d *decoder) shift(n ast.Node, path string) change.Entry {
	var e change.Entry
	d.decodeMapping(n, path, map[string]valueReader{
		"id":      text(d, &e.ID),
		"owner":   text(d, &e.Owner),
		"class":   text(d, &e.Class),
		"service": text[fleet.ServiceName](d, &e.Service),
		"from":    text(d, &e.From),
		"to":      text(d, &e.To),
		"limits":  func(n ast.Node, path string) { d.limits(n, path, &e.Limits) },
	})
	return e
}

func (d *decoder) limits(n ast.Node, path string, l *catalogue.Limits) {
	d.decodeMapping(n, path, map[string]valueReader{
		"max_share":       d.share(&l.MaxShare),
		"step":            d.share(&l.Step),
		"interval":        d.duration(&l.Interval),
		"min_headroom":    d.share(&l.MinHeadroom),
		"max_error_share": d.share(&l.MaxErrorShare),
		"max_p99":         d.duration(&l.MaxP99),
		"window":          func(n ast.Node, path string) { d.window(n, path, &l.Window) },
	})
}

func (d *decoder) window(n ast.Node, path string, w *catalogue.Window) {
	d.decodeMapping(n, path, map[string]valueReader{
		"start": d.timestamp(&w.Start),
		"end":   d.timestamp(&w.End),
	})
}

// text decodes a plain or quoted string. Numbers and booleans are rejected
// instead of converted: an id of 007 would silently lose its zeros.
func text[T ~string](d *decoder, to *T) valueReader {
	return func(n ast.Node, path string) {
		if s, ok := stringOf(n); ok {
			*to = T(s)
			return
		}
		d.addError(nodeLine(n), path, "must be text, not %s; put it in quotes if it is meant as text", kindName(n))
	}
}

func stringOf(n ast.Node) (string, bool) {
	switch s := n.(type) {
	case *ast.StringNode:
		return s.Value, true
	case *ast.LiteralNode:
		return s.Value.Value, true
	}
	return "", false
}

func (d *decoder) boolean(to *bool) valueReader {
	return func(n ast.Node, path string) {
		b, ok := n.(*ast.BoolNode)
		if !ok {
			d.addError(nodeLine(n), path, "must be true or false, not %s", kindName(n))
			return
		}
		*to = b.Value
	}
}

func (d *decoder) share(to *catalogue.Share) valueReader {
	return func(n ast.Node, path string) {
		i, ok := n.(*ast.IntegerNode)
		if !ok {
			d.addError(nodeLine(n), path, "must be a whole number of 1/%d, not %s", catalogue.ShareUnit, kindName(n))
			return
		}
		v, err := strconv.ParseUint(i.Token.Value, 10, 16)
		if err != nil {
			d.addError(nodeLine(n), path, "must be a decimal whole number from 0 to %d", catalogue.ShareUnit)
			return
		}
		*to = catalogue.Share(v)
	}
}

func (d *decoder) duration(to *catalogue.Duration) valueReader {
	return func(n ast.Node, path string) {
		s, ok := stringOf(n)
		if !ok || to.UnmarshalText([]byte(s)) != nil {
			d.addError(nodeLine(n), path, "must be a duration of zero or more, such as 30s or 1m30s")
		}
	}
}

func (d *decoder) timestamp(to *time.Time) valueReader {
	return func(n ast.Node, path string) {
		s, ok := stringOf(n)
		t, err := time.Parse(time.RFC3339, s)
		if !ok || err != nil {
			d.addError(nodeLine(n), path, "must be a time such as 2026-03-01T22:00:00Z")
			return
		}
		*to = t.UTC()
	}
}

// kindName returns the name of a node's kind for an error message.
func kindName(n ast.Node) string {
	switch n.(type) {
	case *ast.StringNode, *ast.LiteralNode:
		return "text"
	case *ast.IntegerNode, *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return "a number"
	case *ast.BoolNode:
		return "true or false"
	case *ast.SequenceNode:
		return "a list"
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.NullNode:
		return "empty"
	}
	return "a " + strings.ToLower(n.Type().String())
}
