package e2e

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
)

func TestPath(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Deadline", r.Header.Get("Azurethread-Deadline-Ms"))
		w.WriteHeader(299)
		fmt.Fprintf(w, "%s %s %s", r.Method, r.URL, b)
	}))
	t.Cleanup(srv.Close)
	d := startEntry(t, entryOptions{
		targets:  []fleet.Target{{ID: "t1", Service: "calc", Addr: strings.TrimPrefix(srv.URL, "http://"), Slots: 3, Connections: 330}},
		services: []catalogue.Service{{Name: "calc", Idempotent: true, Priority: catalogue.Interactive}, {Name: "fee"}},
	})
	for _, c := range []struct {
		method, uri, body string
		status            int
		verdict, answer   string
	}{
		{"GET", "/v1/call/calc/x/y?z=1", "", 299, "ran", "GET /x/y?z=1 "},
		{"POST", "/v1/call/calc/x", "hello", 299, "ran", "POST /x hello"},
		{"HEAD", "/v1/call/calc/x", "", 299, "ran", ""},
		{"GET", "/v1/call/nope/x", "", 404, "not-run", `"unknown-service"`},
		{"POST", "/v1/call/fee/x", "", 428, "not-run", `"token-required"`},
		{"POST", "/v1/lookup?service=calc", "", 400, "not-run", `"bad-request"`},
	} {
		r, err := http.NewRequest(c.method, "http://"+d.CallAddr()+c.uri, strings.NewReader(c.body))
		is.NoErr(err)
		res, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		b, err := io.ReadAll(res.Body)
		res.Body.Close()
		is.NoErr(err)
		is.Equal(res.StatusCode, c.status)
		is.Equal(res.Header.Get("Azurethread-Verdict"), c.verdict)
		is.True(strings.Contains(string(b), c.answer)) // answer of the target or reason
	}
}
