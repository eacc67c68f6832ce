package peer

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
)

// Symptom: a daemon ends with a panic in place of an error.
// Sequence: its address for frames is taken; Listen fails, and the daemon
// closes what it has set up.
// Cause: nbio cannot stop an engine that has not started.
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
