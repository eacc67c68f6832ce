package daemon

import (
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/serve/inbound"
	"github.com/azurethread/azurethread/serve/outbound"
)

// Guards against attempts that can never be cancelled: a caller disconnects just
// as its call is sent, and the call, still without attempts, is removed from the
// table while its first attempt starts. The cancellation then finds no call, the
// target works for a caller that has gone, and the connection stays open if it
// never answers.
func TestAttemptAddedWhileCallFinishes(t *testing.T) {
	is := is.New(t)
	table := calls{byID: make(map[dispatch.RequestID]*call)}
	for range 20_000 {
		c := &call{}
		table.add(c)
		var started bool
		var wg sync.WaitGroup
		wg.Go(func() { table.finish(c.id) })
		wg.Go(func() { started = c.addAttempt(&attempt{id: 1}) })
		wg.Wait()
		if !started {
			is.True(table.get(c.id) == nil)
			continue
		}
		is.Equal(table.get(c.id), c) // still in the table, so it can be cancelled
		table.attemptEnded(c)
		is.True(table.get(c.id) == nil)
	}
}

// Guards against a memory leak: targets removed from the machine list were kept
// for running requests, which hold the address themselves, so memory grew with
// every replaced target.
func TestRemovedTargetsAreForgotten(t *testing.T) {
	is := is.New(t)
	d := &Daemon{}
	d.updateTargets([]fleet.Target{{ID: "t-1", Addr: "127.0.0.1:1"}, {ID: "t-2", Addr: "127.0.0.1:2"}})
	d.updateTargets([]fleet.Target{{ID: "t-2", Addr: "127.0.0.1:2"}})
	is.Equal(len(d.targets), 1)
	is.Equal(d.targets["t-2"].Addr, "127.0.0.1:2")
}

// Guards against an answer that is taken for another request's: a target sends it a second
// time, or sends an answer that nobody asked for, without the id of a send.
func TestOwnerOf(t *testing.T) {
	is := is.New(t)
	for _, tc := range []struct {
		header http.Header
		want   outbound.Ownership
	}{
		{http.Header{headerAttempt: {"7"}}, outbound.Own},
		{http.Header{headerAttempt: {"7"}, headerRefused: {"not-run"}}, outbound.Own},
		{http.Header{headerAttempt: {"6"}}, outbound.Foreign},
		{http.Header{headerAttempt: {"6"}, headerRefused: {"not-run"}}, outbound.Foreign},
		{http.Header{headerRefused: {"not-run"}}, outbound.Unnamed},
		{http.Header{}, outbound.Unnamed},
	} {
		is.Equal(ownerOf("7", tc.header), tc.want) // tc
	}
}

// Guards against an entry VM whose answers to forwarded requests name none, and so end their
// connections; and against callers who get the id of a send to a target.
func TestAnswersReturnTheAttemptOfTheirRequest(t *testing.T) {
	is := is.New(t)
	x := &inbound.Exchange{Request: inbound.Request{Header: http.Header{headerAttempt: {"7"}}}}
	h := http.Header{headerAttempt: {"of the target"}}
	returnAttempt(h, x)
	is.Equal(h.Get(headerAttempt), "7")
	x.Header = http.Header{}
	returnAttempt(h, x)
	is.Equal(h.Get(headerAttempt), "")
}
