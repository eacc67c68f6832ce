package ingress

import (
	"net/http"
	"os"
	"strconv"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// socketTimers are the options of a TCP connection that may end it while it is idle.
type socketTimers struct {
	keepAlive   bool
	userTimeout int // ms; 0: the kernel's own limit on retransmissions
}

// connectedSockets returns the options of all TCP connections of this process.
func connectedSockets(t *testing.T) []socketTimers {
	files, err := os.ReadDir("/proc/self/fd")
	is.New(t).NoErr(err)
	var list []socketTimers
	for _, f := range files {
		fd, err := strconv.Atoi(f.Name())
		if err != nil {
			continue
		}
		if _, err := unix.Getpeername(fd); err != nil {
			continue // not connected, or no socket
		}
		userTimeout, err := unix.GetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		if err != nil {
			continue // not of TCP
		}
		keepAlive, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE)
		is.New(t).NoErr(err)
		list = append(list, socketTimers{keepAlive: keepAlive != 0, userTimeout: userTimeout})
	}
	return list
}

// Guards against idle connections that end after some lost keep-alive probes: where
// TCP_USER_TIMEOUT is set, it decides how long probes may stay unanswered, whatever their
// count.
func TestKeepAliveProbesEndNoConnectionEarly(t *testing.T) {
	is := is.New(t)
	w := newTestEnv(t, catchAllRoute(true))
	reached, release := make(chan struct{}), make(chan struct{})
	answer := func(rw http.ResponseWriter, r *http.Request) {
		reached <- struct{}{}
		<-release
		respondOK("hello")(rw, r)
	}
	w.startRemoteTarget("t1", http.HandlerFunc(answer))
	near, gate := w.startTwoRegions()
	w.startListed("vm-2")
	c := dial(t, near)
	c.sendRequest(http.MethodGet, "/x", "id-1")
	<-reached
	limited := 0
	for _, s := range connectedSockets(t) {
		if s.userTimeout > 0 {
			limited++
			is.True(!s.keepAlive) // probes would end it after this time
		}
	}
	is.True(limited >= 2) // from near to the gateway, and from there to the target
	is.True(gate.metrics.forwarded.Value() > 0)
	close(release)
	res, _ := c.readResponse(http.MethodGet)
	is.Equal(res.StatusCode, http.StatusOK)
}
