// Package heads checks the heads of HTTP/1.1 messages before they are parsed.
//
// nbhttp's parser accepts several malformed heads and interprets them in its
// own way: Content-Length together with chunked encoding, white space before a
// colon, two Host fields. A receiver behind an entry VM, or one before it, may
// interpret the same bytes differently, which allows request smuggling: a
// request hidden in the body of another one. Such heads are therefore refused.
package heads

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
)

// Errors for a malformed head.
var (
	ErrStartLine = errors.New("heads: malformed request or status line")
	ErrLineEnd   = errors.New("heads: line without CR LF at its end")
	ErrField     = errors.New("heads: malformed header field")
	ErrFolded    = errors.New("heads: folded header field")
	ErrLength    = errors.New("heads: malformed or repeated Content-Length")
	ErrEncoding  = errors.New("heads: unsupported Transfer-Encoding")
	ErrFraming   = errors.New("heads: both Content-Length and Transfer-Encoding")
	ErrHost      = errors.New("heads: missing or repeated Host")
)

// Framing states how the end of a message's body is determined.
type Framing struct {
	Chunked bool
	// Length is the body's length in bytes, -1 if the head states none.
	Length int64
}

var (
	headEnd = []byte("\r\n\r\n")
	crlf    = headEnd[:2]
)

// End returns the length of the head at the start of b, including its empty
// line, or 0 if it is not complete. searched is the number of bytes that an
// earlier call has searched.
func End(b []byte, searched int) int {
	from := max(0, searched-len(headEnd)+1)
	i := bytes.Index(b[from:], headEnd)
	if i < 0 {
		return 0
	}
	return from + i + len(headEnd)
}

// Request checks the complete head of a request.
func Request(head []byte) (Framing, error) {
	line, fields, err := splitHead(head)
	if err != nil {
		return Framing{}, err
	}
	version, ok := requestLine(line)
	if !ok {
		return Framing{}, ErrStartLine
	}
	f, hosts, err := checkFields(fields)
	if err != nil {
		return Framing{}, err
	}
	if hosts > 1 || (hosts == 0 && version == "HTTP/1.1") {
		return Framing{}, ErrHost
	}
	return f, nil
}

// Response checks the complete head of a response and returns its status.
func Response(head []byte) (Framing, int, error) {
	line, fields, err := splitHead(head)
	if err != nil {
		return Framing{}, 0, err
	}
	status, ok := statusLine(line)
	if !ok {
		return Framing{}, 0, ErrStartLine
	}
	f, _, err := checkFields(fields)
	return f, status, err
}

// ContainsStatusLine reports whether a head contains a status line behind its own. The end of
// an incomplete head and the beginning of another one look like one head, if the former ends
// within a line.
func ContainsStatusLine(head []byte) bool {
	rest := head[min(1, len(head)):]
	for {
		i := bytes.Index(rest, []byte("HTTP/1."))
		if i < 0 {
			return false
		}
		rest = rest[i:]
		line, _, _ := bytes.Cut(rest, crlf)
		if n := len("HTTP/1.1 200"); len(line) >= n {
			if _, ok := statusLine(line); ok {
				return true
			}
		}
		rest = rest[1:]
	}
}

// BodyAllowed reports whether an answer with this status can have a body.
func BodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// ParsePartial returns what can be read of a head that is incomplete or
// malformed: the first two words of the request line, and every well-formed
// field line; if names are given, in canonical form, only the first of each of those fields.
func ParsePartial(head []byte, names ...string) (method, target string, fields http.Header) {
	fields = make(http.Header)
	line, rest, _ := bytes.Cut(head, crlf)
	words := bytes.SplitN(line, []byte(" "), 3)
	method = string(words[0])
	if len(words) > 1 {
		target = string(words[1])
	}
	for len(rest) > 0 {
		var l []byte
		l, rest, _ = bytes.Cut(rest, crlf)
		name, value, err := parseField(l)
		if err == nil && isWanted(name, names, fields) {
			fields.Add(string(name), string(value))
		}
	}
	return method, target, fields
}

// isWanted reports whether a field is one of those with the names, or there are no names, and
// was not found before.
func isWanted(name []byte, names []string, found http.Header) bool {
	if len(names) == 0 {
		return true
	}
	for _, n := range names {
		if equalFold(name, n) {
			return len(found[n]) == 0
		}
	}
	return false
}

// splitHead separates the first line from the field lines.
func splitHead(head []byte) (line, fields []byte, err error) {
	i := bytes.Index(head, crlf)
	if i < 0 || !bytes.HasSuffix(head, headEnd) {
		return nil, nil, ErrLineEnd
	}
	return head[:i], head[i+2 : len(head)-2], nil
}

// requestLine checks "METHOD target HTTP/1.x" and returns the version.
func requestLine(line []byte) (version string, ok bool) {
	method, rest, ok := bytes.Cut(line, []byte(" "))
	if !ok || !isToken(method) {
		return "", false
	}
	target, proto, ok := bytes.Cut(rest, []byte(" "))
	if !ok || len(target) == 0 || !isVisible(target) {
		return "", false
	}
	if target[0] != '/' && string(target) != "*" {
		return "", false
	}
	switch string(proto) {
	case "HTTP/1.1", "HTTP/1.0":
		return string(proto), true
	}
	return "", false
}

// statusLine checks "HTTP/1.x 200 reason"; the reason phrase may be missing.
func statusLine(line []byte) (status int, ok bool) {
	const codeAt, codeEnd = len("HTTP/1.1 "), len("HTTP/1.1 200")
	if len(line) < codeEnd || !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[codeAt-1] != ' ' {
		return 0, false
	}
	if len(line) > codeEnd && line[codeEnd] != ' ' {
		return 0, false
	}
	status, err := strconv.Atoi(string(line[codeAt:codeEnd]))
	return status, err == nil && status >= 100 && IsText(line)
}

// checkFields checks every field line and returns the framing that the fields
// state, and the number of Host fields.
func checkFields(fields []byte) (f Framing, hosts int, err error) {
	f.Length = -1
	for len(fields) > 0 {
		i := bytes.Index(fields, crlf)
		if i < 0 {
			return f, 0, ErrLineEnd
		}
		name, value, err := parseField(fields[:i])
		if err != nil {
			return f, 0, err
		}
		fields = fields[i+2:]
		if err := f.apply(name, value); err != nil {
			return f, 0, err
		}
		if equalFold(name, "host") {
			hosts++
		}
	}
	return f, hosts, nil
}

// IsField reports whether line, without its end, is a well-formed field.
func IsField(line []byte) bool {
	_, _, err := parseField(line)
	return err == nil
}

// parseField splits one field line into name and value.
func parseField(line []byte) (name, value []byte, err error) {
	if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
		return nil, nil, ErrFolded
	}
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) {
		return nil, nil, ErrField
	}
	value = bytes.Trim(value, " \t")
	if !IsText(value) {
		return nil, nil, ErrField
	}
	return name, value, nil
}

// apply updates the framing by a field if the field states how the body ends.
func (f *Framing) apply(name, value []byte) error {
	switch {
	case equalFold(name, "content-length"):
		n, ok := parseLength(value)
		if !ok || f.Length >= 0 {
			return ErrLength
		}
		f.Length = n
	case equalFold(name, "transfer-encoding"):
		if f.Chunked || !equalFold(value, "chunked") {
			return ErrEncoding
		}
		f.Chunked = true
	}
	if f.Chunked && f.Length >= 0 {
		return ErrFraming
	}
	return nil
}

// parseLength parses a Content-Length. Only digits are accepted: other
// receivers could read a sign or separator differently.
func parseLength(value []byte) (int64, bool) {
	for _, c := range value {
		if c < '0' || c > '9' {
			return 0, false
		}
	}
	n, err := strconv.ParseInt(string(value), 10, 63)
	return n, err == nil
}

func equalFold(b []byte, lower string) bool {
	return len(b) == len(lower) && bytes.EqualFold(b, []byte(lower))
}

// isToken reports whether b is a token of RFC 9110, as names of methods and
// fields must be.
func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenChar(c) {
			return false
		}
	}
	return len(b) > 0
}

func tokenChar(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0
}

// isVisible reports whether b has neither white space nor control characters.
func isVisible(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return true
}

// IsText reports whether b has no control characters except tabs.
func IsText(b []byte) bool {
	for _, c := range b {
		if (c < ' ' && c != '\t') || c == 0x7f {
			return false
		}
	}
	return true
}
