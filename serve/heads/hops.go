package heads

import (
	"net/http"
	"strings"
)

// hopByHop are the fields that concern a single connection and are not passed
// on.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection",
}

// RemoveHopByHop removes from h the hop-by-hop fields, including those named by
// Connection.
func RemoveHopByHop(h http.Header) {
	for _, v := range h["Connection"] {
		for _, f := range strings.Split(v, ",") {
			h.Del(strings.TrimSpace(f))
		}
	}
	for _, f := range hopByHop {
		delete(h, f)
	}
}
