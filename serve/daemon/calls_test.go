package daemon

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/dispatch"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Symptom: a target works on for a caller that has gone, and the connection to
// it stays open for good if it never answers.
// Sequence: a caller leaves just as its call is sent.
// Cause: the call was dropped from the table for want of attempts while its
// first one began; the order to cancel that attempt found nothing.
func TestAttemptAddedWhileCallFinishes(t *testing.T) {
	is := is.New(t)
	table := calls{byID: make(map[dispatch.RequestID]*call)}
	for range 20_000 {
		c := &call{}
		table.add(c)
		var begun bool
		var wg sync.WaitGroup
		wg.Go(func() { table.finish(c.id) })
		wg.Go(func() { begun = c.addAttempt(&attempt{id: 1}) })
		wg.Wait()
		if !begun {
			is.True(table.get(c.id) == nil)
			continue
		}
		is.Equal(table.get(c.id), c) // it can be cancelled
		table.attemptEnded(c)
		is.True(table.get(c.id) == nil)
	}
}

// Symptom: the memory of an entry VM grows by every target that has ever been
// replaced.
// Sequence: the machine list changes.
// Cause: targets that had left the list were kept for requests under way,
// which hold the address themselves.
func TestRemovedTargetsAreForgotten(t *testing.T) {
	is := is.New(t)
	d := &Daemon{}
	d.updateTargets([]fleet.Target{{ID: "t-1", Addr: "127.0.0.1:1"}, {ID: "t-2", Addr: "127.0.0.1:2"}})
	d.updateTargets([]fleet.Target{{ID: "t-2", Addr: "127.0.0.1:2"}})
	is.Equal(len(d.targets), 1)
	is.Equal(d.targets["t-2"].Addr, "127.0.0.1:2")
}
