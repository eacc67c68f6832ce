package ingress

import (
	"errors"
	"fmt"
	"slices"
)

// Check reports the first inconsistency of the books. Randomised runs call it
// after every step.
func (r *Reducer) Check() error {
	inFlight := make(map[*targetState]int)
	awaited := make(map[*targetState]int)
	for key, j := range r.jobs {
		switch j.state {
		case jobPlaced:
			inFlight[j.target]++
		case jobWaiting:
			if !j.node.Queued() {
				return fmt.Errorf("job %v waits outside of the queue", key)
			}
			if j.awaited != nil {
				awaited[j.awaited]++
			}
		default:
			return fmt.Errorf("job %v is kept in state %d", key, j.state)
		}
		if j.req != nil && j.state == jobWaiting && j.req.job != j {
			return fmt.Errorf("job %v waits beside another search of its request", key)
		}
		if j.req != nil && r.requests[j.req.id] == nil {
			return fmt.Errorf("job %v has outlived its request", key)
		}
	}
	for id, t := range r.targets {
		if t.inFlight != inFlight[t] {
			return fmt.Errorf("target %s: %d counted in flight, %d placed", id, t.inFlight, inFlight[t])
		}
		if t.awaited != awaited[t] {
			return fmt.Errorf("target %s: %d counted as awaited, %d wait", id, t.awaited, awaited[t])
		}
	}
	return errors.Join(r.checkRequests(), r.checkQueues(), r.checkKept())
}

func (r *Reducer) checkRequests() error {
	attempts := 0
	for id, q := range r.requests {
		attempts += len(q.running)
		if len(q.running) == 0 && q.job == nil && q.asking == nil {
			return fmt.Errorf("request %d: nothing is under way for it", id)
		}
		if q.sends > q.route.Attempts {
			return fmt.Errorf("request %d: %d sends of %d", id, q.sends, q.route.Attempts)
		}
		if !q.route.Idempotent && len(q.running) > 1 {
			return fmt.Errorf("request %d: not idempotent, sent twice", id)
		}
	}
	if attempts != len(r.attempts) {
		return fmt.Errorf("%d attempts kept, %d under way", len(r.attempts), attempts)
	}
	if len(r.carries) != len(r.carriesBy) {
		return fmt.Errorf("%d requests carried, %d by their attempts", len(r.carries), len(r.carriesBy))
	}
	for id, q := range r.asks {
		if q.asking == nil || q.asking.ask.ID != id {
			return fmt.Errorf("ask %d is kept and not asked", id)
		}
	}
	return nil
}

func (r *Reducer) checkQueues() error {
	waiting := 0
	for _, s := range r.services {
		waiting += s.waiting.Len()
	}
	for _, j := range r.jobs {
		if j.state == jobWaiting {
			waiting--
		}
	}
	if waiting != 0 {
		return fmt.Errorf("%d more jobs queued than waiting", waiting)
	}
	return nil
}

// checkKept holds what is kept up to date against what it is derived from.
func (r *Reducer) checkKept() error {
	waiting := make(map[*targetState]int)
	for key, j := range r.jobs {
		if j.state != jobWaiting {
			continue
		}
		for _, x := range j.considered {
			waiting[x.t]++
			if !slices.Contains(x.t.waiters, j) {
				return fmt.Errorf("job %v considers %s and is not woken by it", key, x.t.ID)
			}
		}
	}
	for _, s := range r.services {
		if err := r.checkService(s, waiting); err != nil {
			return err
		}
	}
	return nil
}

// checkService holds the counts and groups of s against its targets; waiting is
// how many jobs consider each.
func (r *Reducer) checkService(s *service, waiting map[*targetState]int) error {
	load, slots, listed, limited := 0, 0, 0, 0
	for _, t := range s.targets {
		load += t.countedLoad
		slots += t.countedSlots
		listed += count(t.listed)
		limited += count(t.limit.named)
		if len(t.waiters) != waiting[t] {
			return fmt.Errorf("target %s: %d waiters kept, %d wait", t.ID, len(t.waiters), waiting[t])
		}
		if may := !t.Draining && !r.evacuated[t.Domain]; may != t.listed {
			return fmt.Errorf("target %s: listed %v, may get requests %v", t.ID, t.listed, may)
		}
	}
	if limited != len(s.limited) {
		return fmt.Errorf("service %s: %d targets name a limit, %d are kept", s.name, limited, len(s.limited))
	}
	for _, g := range s.groups {
		listed -= len(g)
	}
	if load != s.here.load || slots != s.here.slots || listed != 0 {
		return fmt.Errorf("service %s: crowd %d of %d, its targets %d of %d; %d more listed than grouped",
			s.name, s.here.load, s.here.slots, load, slots, listed)
	}
	return nil
}
