package heads

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against request smuggling: a caller sends a head that two receivers
// interpret differently, and a request hidden in the body of another one runs
// at a target. RFC 9112 requires such heads to be refused.
func TestRequest(t *testing.T) {
	for name, c := range map[string]struct {
		head string
		err  error
		want Framing
	}{
		"plain":                {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", nil, Framing{Length: -1}},
		"length":               {"PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n\r\n", nil, Framing{Length: 12}},
		"chunked":              {"PUT /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n\r\n", nil, Framing{Chunked: true, Length: -1}},
		"old without host":     {"GET / HTTP/1.0\r\n\r\n", nil, Framing{Length: -1}},
		"both framings":        {"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", ErrFraming, Framing{}},
		"framings reversed":    {"PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n", ErrFraming, Framing{}},
		"two lengths":          {"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", ErrLength, Framing{}},
		"signed length":        {"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\n", ErrLength, Framing{}},
		"list of lengths":      {"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 1, 1\r\n\r\n", ErrLength, Framing{}},
		"empty length":         {"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: \r\n\r\n", ErrLength, Framing{}},
		"huge length":          {"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n", ErrLength, Framing{}},
		"other encoding":       {"PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", ErrEncoding, Framing{}},
		"two encodings":        {"PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", ErrEncoding, Framing{}},
		"space before colon":   {"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length : 1\r\n\r\n", ErrField, Framing{}},
		"no host":              {"GET / HTTP/1.1\r\nA: b\r\n\r\n", ErrHost, Framing{}},
		"two hosts":            {"GET / HTTP/1.1\r\nHost: a\r\nhost: b\r\n\r\n", ErrHost, Framing{}},
		"folded":               {"GET / HTTP/1.1\r\nHost: a\r\nA: b\r\n c\r\n\r\n", ErrFolded, Framing{}},
		"bare line feed":       {"GET / HTTP/1.1\nHost: a\r\n\r\n", ErrStartLine, Framing{}},
		"line feed in a field": {"GET / HTTP/1.1\r\nHost: a\nB: c\r\n\r\n", ErrField, Framing{}},
		"bare return":          {"GET / HTTP/1.1\r\nHost: a\rB: c\r\n\r\n", ErrField, Framing{}},
		"zero byte":            {"GET / HTTP/1.1\r\nHost: a\x00\r\n\r\n", ErrField, Framing{}},
		"no colon":             {"GET / HTTP/1.1\r\nHost: a\r\nB\r\n\r\n", ErrField, Framing{}},
		"absolute target":      {"GET http://b/ HTTP/1.1\r\nHost: a\r\n\r\n", ErrStartLine, Framing{}},
		"two spaces":           {"GET  / HTTP/1.1\r\nHost: a\r\n\r\n", ErrStartLine, Framing{}},
		"space in the target":  {"GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", ErrStartLine, Framing{}},
		"tab in the target":    {"GET /a\tb HTTP/1.1\r\nHost: a\r\n\r\n", ErrStartLine, Framing{}},
		"other version":        {"GET / HTTP/2.0\r\nHost: a\r\n\r\n", ErrStartLine, Framing{}},
		"bad method":           {"G(T / HTTP/1.1\r\nHost: a\r\n\r\n", ErrStartLine, Framing{}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, err := Request([]byte(c.head))
			is.True(errors.Is(err, c.err))
			if c.err == nil {
				is.Equal(f, c.want)
			}
		})
	}
}

// Guards against bytes from a faulty target that are not an answer but taken
// for one: the whole status line must be checked, not only its start.
func TestResponse(t *testing.T) {
	for name, c := range map[string]struct {
		head   string
		err    error
		status int
	}{
		"plain":         {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", nil, 200},
		"no reason":     {"HTTP/1.1 204 \r\n\r\n", nil, 204},
		"no space":      {"HTTP/1.1 204\r\n\r\n", nil, 204},
		"old":           {"HTTP/1.0 200 OK\r\n\r\n", nil, 200},
		"other words":   {"220 mail ready\r\n\r\n", ErrStartLine, 0},
		"short code":    {"HTTP/1.1 20 OK\r\n\r\n", ErrStartLine, 0},
		"long code":     {"HTTP/1.1 2000 OK\r\n\r\n", ErrStartLine, 0},
		"both framings": {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", ErrFraming, 0},
		"two lengths":   {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n", ErrLength, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, status, err := Response([]byte(c.head))
			is.True(errors.Is(err, c.err))
			if c.err == nil {
				is.Equal(status, c.status)
			}
		})
	}
}

// Guards against missing the end of a head whose last four bytes are split over
// two reads: the search must restart before the end of what was searched
// already.
func TestEndInPieces(t *testing.T) {
	is := is.New(t)
	whole := []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\nbody")
	end := len(whole) - len("body")
	for n := range whole {
		got := End(whole[:n], 0)
		if n < end {
			is.Equal(got, 0)
		} else {
			is.Equal(got, end)
		}
		if n < end {
			is.Equal(End(whole, n), end) // continues where the last search ended
		}
	}
}

func FuzzRequest(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		n := End(b, 0)
		if n == 0 {
			return
		}
		fr, err := Request(b[:n])
		if err == nil && fr.Chunked && fr.Length >= 0 {
			t.Errorf("two framings in %q", b[:n])
		}
	})
}

// Guards against a head that is completed by another one and read as one answer.
func TestContainsStatusLine(t *testing.T) {
	is := is.New(t)
	for head, want := range map[string]bool{
		"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 gateway\r\n\r\n":                         false,
		"HTTP/1.1 200 OK\r\nNote: HTTP/1.1\r\n\r\n":                                false,
		"HTTP/1.1 200 OK\r\nNote: HTTP/1.1 2000\r\n\r\n":                           false,
		"HTTP/1.1 200 OK\r\n\r\n":                                                  false,
		"HTTP/1.1 503 S\r\nNote: HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":     true,
		"HTTP/1.1 503 SHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":               true,
		"HTTP/1.1 503 S\r\nNote: HTTP/1.HTTP/1.0 200\r\nContent-Length: 0\r\n\r\n": true,
		"": false,
	} {
		is.Equal(ContainsStatusLine([]byte(head)), want) // head
	}
}
