package e2e

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/standin/target"
)

// A caller that lost the answer to a posted fee sends the token again, in a
// request whose body or header exceeds a limit. The verdict must be "ran". An
// entry VM that refuses such a request before it looks up the token answers
// "not-run".
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
