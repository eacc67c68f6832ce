package peer

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
)

// Guards against a panic instead of an error when the peer address is in use:
// Listen fails, the daemon closes what it has set up, and nbio cannot stop an
// engine that has not started.
func TestCloseAfterFailedListen(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	tr, err := New(Options{ID: "a", Key: []byte("a key of sixteen bytes or more")}, func(fleet.VMID, Envelope) {}, nil)
	is.NoErr(err)
	_, err = tr.Listen(l.Addr().String())
	is.True(err != nil)
	is.NoErr(tr.Close(context.Background()))
}
