package peer

import "github.com/azurethread/azurethread/decide/fleet"

func (t *Transport) enqueue(r *remote, q queued) {
	r.queue = append(r.queue, q)
	r.queuedBytes += q.size
	for r.queuedBytes > t.o.MaxQueueBytes && len(r.queue) > 1 {
		t.dropOldest(r)
	}
}

func (t *Transport) dropOldest(r *remote) {
	t.stats.Dropped += uint64(len(r.queue[0].bodies))
	t.dequeue(r)
}

func (t *Transport) dequeue(r *remote) {
	r.queuedBytes -= r.queue[0].size
	r.queue[0] = queued{}
	r.queue = r.queue[1:]
}

// sendQueued sends the messages queued for a VM, as far as the window of its
// connection permits. Queued messages are merged into fewer frames.
func (t *Transport) sendQueued(id fleet.VMID) {
	r := t.remotes[id]
	if r == nil {
		return
	}
	for len(r.queue) > 0 && r.current != nil && !r.current.closed {
		if r.current.unackedBytes > 0 && r.current.unackedBytes+r.queue[0].size > t.o.WindowBytes {
			return
		}
		if err := r.current.send(t.mergeQueued(r)); err != nil {
			t.stats.Dropped++
		}
	}
}

func (t *Transport) mergeQueued(r *remote) []Body {
	first := r.queue[0]
	bodies, size := first.bodies, first.size
	t.dequeue(r)
	for len(r.queue) > 0 {
		next := r.queue[0]
		if size+next.size > maxMergedBytes || len(bodies)+len(next.bodies) > MaxBodies {
			break
		}
		bodies = append(bodies[:len(bodies):len(bodies)], next.bodies...)
		size += next.size
		t.dequeue(r)
	}
	return bodies
}
