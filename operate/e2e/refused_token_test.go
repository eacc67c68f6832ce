package e2e

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/standin/target"
)

// Symptom: a caller is told "not run" of a fee that was posted.
// Sequence: a fee is posted and its answer is lost; the caller sends the token
// again with a larger body, or with more header fields, over a limit.
// Cause: messages over a limit were refused before the token was looked up.
func TestTokenOfRefusedMessage(t *testing.T) {
	is := is.New(t)
	sys := newTestSystem(t, testServices())
	sys.startTarget("attiki-1", target.Options{Service: fee, ID: "t1", Slots: 3})
	e := sys.startEntryVM("a", "attiki-1", "--max-head-bytes=4096", "--max-body-bytes=1024")
	for name, rest := range map[string]string{
		"body":   "Content-Length: 2048\r\n\r\n",
		"fields": strings.Repeat("X: aaaaaaaaaaaaaaaa\r\n", 400),
	} {
		tok := tokenOf(t, lookup(t, e, fee, 1), "a")
		is.Equal(postFee(t, e, tok, name).status, http.StatusOK)
		conn := dialRaw(t, e)
		conn.send(t, "POST /v1/call/"+fee+"/x HTTP/1.1\r\nAzurethread-Token: "+tok+"\r\n"+rest)
		a := conn.receive(t, http.MethodPost)
		is.Equal(a.verdict(), "ran")
		is.Equal(a.reason(), "token-used")
	}
}
