package peer

import "github.com/azurethread/azurethread/decide/fleet"

func (t *Transport) enqueue(r *remote, q queued) {
	r.queue = append(r.queue, q)
	r.bytes += q.size
	for r.bytes > t.o.QueueBytes && len(r.queue) > 1 {
		t.dropOldest(r)
	}
}

func (t *Transport) dropOldest(r *remote) {
	t.stats.Dropped += uint64(len(r.queue[0].bodies))
	t.dequeue(r)
}

func (t *Transport) dequeue(r *remote) {
	r.bytes -= r.queue[0].size
	r.queue[0] = queued{}
	r.queue = r.queue[1:]
}

// drain sends what waits for a VM, as far as the window of its connection
// goes. Waiting messages are merged into fewer frames.
func (t *Transport) drain(id fleet.VMID) {
	r := t.remotes[id]
	if r == nil {
		return
	}
	for len(r.queue) > 0 && r.cur != nil && !r.cur.closed {
		if r.cur.unackedBytes > 0 && r.cur.unackedBytes+r.queue[0].size > t.o.WindowBytes {
			return
		}
		if err := r.cur.send(t.merge(r)); err != nil {
			t.stats.Dropped++
		}
	}
}

func (t *Transport) merge(r *remote) []Body {
	first := r.queue[0]
	bodies, size := first.bodies, first.size
	t.dequeue(r)
	for len(r.queue) > 0 {
		next := r.queue[0]
		if size+next.size > mergeBytes || len(bodies)+len(next.bodies) > MaxBodies {
			break
		}
		bodies = append(bodies[:len(bodies):len(bodies)], next.bodies...)
		size += next.size
		t.dequeue(r)
	}
	return bodies
}
