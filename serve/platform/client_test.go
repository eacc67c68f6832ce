package platform_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/platform"
)

func newClient(is *is.I, o platform.Options) *platform.Client {
	is.Helper()
	c, err := platform.NewClient(o)
	is.NoErr(err)
	return c
}

func verdictOf(is *is.I, err error) verdict.Verdict {
	is.Helper()
	var e *verdict.Error
	is.True(errors.As(err, &e)) // a *verdict.Error
	return e.Verdict
}

func TestInvalidAddressIsRejected(t *testing.T) {
	is := is.New(t)
	for _, addr := range []string{"", "ftp://host", "http://"} {
		_, err := platform.NewClient(platform.Options{Addr: addr})
		is.True(err != nil)
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	c := newClient(is, platform.Options{Addr: l.Addr().String()})
	_, err = c.CompareAndSwap(context.Background(), "k", []byte("v"), 0)
	is.Equal(verdictOf(is, err), verdict.NotRun)
}

// Guards against a daemon that waits for its catalogue forever: a firewall on
// the path has dropped the state of the connection, so it is accepted but no
// answer arrives, and the caller's context has no deadline.
func TestCallToSilentServiceTimesOut(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	c := newClient(is, platform.Options{Addr: l.Addr().String(), Timeout: 20 * time.Millisecond})
	_, err = c.CompareAndSwap(context.Background(), "k", []byte("v"), 0)
	is.Equal(verdictOf(is, err), verdict.MayHaveRun)
}

// Guards against taking a part of a catalogue for the whole, and against
// reporting a write that ran as not run: the service fails while it answers, or
// another program answers at its address.
func TestInvalidAnswerVerdicts(t *testing.T) {
	cases := map[string]struct {
		status int
		length string // Content-Length, if it differs from the body's
		body   string
		want   verdict.Verdict
	}{
		"cut":            {status: 200, length: "9", body: "true", want: verdict.MayHaveRun},
		"not a boolean":  {status: 200, body: "maybe", want: verdict.MayHaveRun},
		"empty":          {status: 200, want: verdict.MayHaveRun},
		"server error":   {status: 500, body: "no leader", want: verdict.MayHaveRun},
		"redirect":       {status: 307, body: "elsewhere", want: verdict.MayHaveRun},
		"bad request":    {status: 400, body: "bad cas", want: verdict.NotRun},
		"no such path":   {status: 404, body: "not found", want: verdict.MayHaveRun},
		"beyond a limit": {status: 200, body: strings.Repeat("t", 2*platform.MaxValueSize), want: verdict.MayHaveRun},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if tc.length != "" {
					w.Header().Set("Content-Length", tc.length)
				}
				w.Header().Set("Location", "/v1/kv/elsewhere")
				w.WriteHeader(tc.status)
				w.Write([]byte(tc.body))
			}))
			defer s.Close()
			c := newClient(is, platform.Options{Addr: s.URL})
			_, err := c.CompareAndSwap(context.Background(), "k", []byte("v"), 0)
			is.Equal(verdictOf(is, err), tc.want)
		})
	}
}

// Guards against overwriting another operator's change without a conflict: a
// write is accepted, another client's write follows at once, and reading the
// entry back returns the other client's entry, because the answer to a write
// contains no index.
func TestIndexOfReplacedWriteIsZero(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			w.Write([]byte("true"))
			return
		}
		w.Write([]byte(`[{"Key":"k","Value":"b3RoZXI=","ModifyIndex":9}]`))
	}))
	defer s.Close()
	c := newClient(is, platform.Options{Addr: s.URL})
	index, err := c.CompareAndSwap(context.Background(), "k", []byte("ours"), 7)
	is.NoErr(err)
	is.Equal(index, uint64(0))
}

func TestMalformedEntriesAreRejected(t *testing.T) {
	for _, body := range []string{"", "{", `[{"Key":"k","Value":"%%"}]`, `[{"Key":"other"}]`, `[]`} {
		t.Run(body, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Write([]byte(body))
			}))
			defer s.Close()
			c := newClient(is, platform.Options{Addr: s.URL})
			_, err := c.Get(context.Background(), "k")
			is.Equal(verdictOf(is, err), verdict.MayHaveRun)
		})
	}
}

// Guards against a daemon that concludes that there is no catalogue: another
// program listens at the service's address and answers a read with 404.
func TestNotFoundWithoutIndexIsAnError(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	c := newClient(is, platform.Options{Addr: s.URL})
	_, err := c.Get(context.Background(), "k")
	is.True(!errors.Is(err, platform.ErrNotFound))
	_, err = c.List(context.Background(), "k")
	is.True(err != nil)
}
