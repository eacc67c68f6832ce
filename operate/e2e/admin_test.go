package e2e

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/serve/admin"
)

// Malformed or oversized messages of a defective or hostile client must get an
// error response, and must not stop or block administration for the operators.
// The log must contain no secrets.
func TestBadAdministrationMessages(t *testing.T) {
	sys := newTestSystem(t, testServices())
	sys.startHandlerTarget("attiki-1", calc, func(http.ResponseWriter, *http.Request) {})
	e := sys.startEntryVM("a", "attiki-1", "--operators=ana="+admin.HashToken("ana"))
	auth := "Host: a\r\nAuthorization: Bearer ana\r\n"
	large := strings.Repeat("a", admin.MaxBody+1)
	for name, c := range map[string]struct {
		send   string
		status int
	}{
		"no token":        {"GET /v1/admin/status HTTP/1.1\r\nHost: a\r\n\r\n", 401},
		"wrong token":     {"GET /v1/admin/status HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ben\r\n\r\n", 401},
		"other scheme":    {"GET /v1/admin/status HTTP/1.1\r\nHost: a\r\nAuthorization: Basic ana\r\n\r\n", 401},
		"no route":        {"GET /v1/admin/nothing HTTP/1.1\r\n" + auth + "\r\n", 404},
		"not JSON":        {"POST /v1/admin/shifts HTTP/1.1\r\n" + auth + "Content-Length: 3\r\n\r\n{a}", 400},
		"unknown field":   {"POST /v1/admin/shifts HTTP/1.1\r\n" + auth + "Content-Length: 7\r\n\r\n{\"x\":1}", 400},
		"invalid entry":   {"POST /v1/admin/shifts HTTP/1.1\r\n" + auth + "Content-Length: 12\r\n\r\n{\"entry\":{}}", 422},
		"body too large":  {"POST /v1/admin/shifts HTTP/1.1\r\n" + auth + "Content-Length: 1048577\r\n\r\n" + large, 413},
		"far too large":   {"POST /v1/admin/shifts HTTP/1.1\r\n" + auth + "Content-Length: 9999999\r\n\r\n" + strings.Repeat(large, 9), 413},
		"malformed head":  {"G@T / HTTP/1.1\r\n\r\n", 400},
		"malformed field": {"GET / HTTP/1.1\r\n(x): y\r\n\r\n", 400},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", e.AdminAddr())
			is.NoErr(err)
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(adminTimeout))
			go func() { _, _ = io.WriteString(conn, c.send) }() // fails if the server closes the connection first
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			defer res.Body.Close()
			is.Equal(res.StatusCode, c.status)
			is.Equal(res.Header.Get("Azurethread-Verdict"), "not-run")
		})
	}
	is := is.New(t)
	good, err := send("GET", "http://"+e.AdminAddr()+"/v1/admin/status", http.Header{"Authorization": {"Bearer ana"}}, nil)
	is.NoErr(err)
	is.Equal(good.status, http.StatusOK)
	is.True(strings.Contains(e.log.String(), `"operator":"ana"`))
	for _, secret := range []string{"Bearer", testFleetKey, admin.HashToken("ana")} {
		is.True(!strings.Contains(e.log.String(), secret))
	}
}

// A client that closes its connection after each answer must receive every
// answer. Some are lost if the server closes the connection before the kernel
// has taken the answer; then a change ends with an unknown outcome
// although it was answered, or a reader of metrics misses a value.
func TestAdministrationAnswersArrive(t *testing.T) {
	const requests = 5000
	sys := newTestSystem(t, testServices())
	e := sys.startEntryVM("a", "attiki-1")
	lost := 0
	for range requests {
		if _, err := send("GET", "http://"+e.AdminAddr()+"/debug/vars", nil, nil); err != nil {
			t.Log(err)
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d answers were lost", lost, requests)
	}
}

// adminTimeout is much longer than any answer takes on loopback.
const adminTimeout = 10 * time.Second
