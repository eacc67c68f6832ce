package ingress

import (
	"encoding/json"
	"errors"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/mirror"
	"github.com/azurethread/azurethread/decide/quarantine"
	"github.com/azurethread/azurethread/serve/kv"
)

// prefixQuarantine holds one key for each fingerprint that is kept away from
// targets. VMs that were cut off or restarted learn of them by it, and operators
// lift a quarantine by taking its key out.
const prefixQuarantine = "azurethread/quarantine/"

// quarantineQueue are changes that the store does not have yet.
type quarantineQueue struct {
	mu      sync.Mutex
	pending map[quarantine.Fingerprint]ingress.Quarantine
	stored  map[quarantine.Fingerprint]bool // in the copy of the store
	wake    chan struct{}
}

func newQuarantineQueue() quarantineQueue {
	return quarantineQueue{
		pending: make(map[quarantine.Fingerprint]ingress.Quarantine),
		stored:  make(map[quarantine.Fingerprint]bool),
		wake:    make(chan struct{}, 1),
	}
}

// add has a change written in place of an earlier one.
func (w *quarantineQueue) add(q *ingress.Quarantine) {
	w.mu.Lock()
	w.pending[q.Record.Fingerprint] = *q
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// nextTxn returns what waits and forgets it. What is to be removed and is not in
// the copy needs no call; a key that appears there later is removed then.
func (w *quarantineQueue) nextTxn() kv.Txn {
	w.mu.Lock()
	defer w.mu.Unlock()
	var t kv.Txn
	for f, q := range w.pending {
		if len(t.Writes)+len(t.Remove) == maxWritesPerTxn {
			break
		}
		delete(w.pending, f)
		key := prefixQuarantine + f.String()
		if !q.Keep {
			if w.stored[f] {
				t.Remove = append(t.Remove, key)
			}
			continue
		}
		value, err := json.Marshal(q.Record)
		if err == nil { // a record has nothing that JSON can't express
			t.Writes = append(t.Writes, kv.Write{Key: key, Value: value})
		}
	}
	return t
}

// maxWritesPerTxn is how many keys the store takes in one call.
const maxWritesPerTxn = 32

// setStored notes whether the store has a fingerprint.
func (w *quarantineQueue) setStored(f quarantine.Fingerprint, is bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if is {
		w.stored[f] = true
	} else {
		delete(w.stored, f)
	}
}

// quarantineChanged takes a change of a quarantine.
func (s *Server) quarantineChanged(q *ingress.Quarantine) {
	if q.Keep || q.Remove {
		s.quarantines.add(q)
	}
	rec := &q.Record
	line := s.event(eventQuarantine).WithField("fingerprint", rec.Fingerprint)
	if !rec.Quarantined() {
		line.Info("request may go to targets again")
		return
	}
	line.WithField("route", rec.Route).WithField("ends", rec.Ended).WithField("trials", rec.Trials).
		WithField("until", rec.TrialAt()).Warn("request is kept away from targets, as it ends them")
}

// writeQuarantines writes changes of quarantines to the store.
func (s *Server) writeQuarantines() {
	for s.ctx.Err() == nil {
		t := s.quarantines.nextTxn()
		if len(t.Writes)+len(t.Remove) > 0 {
			s.commitQuarantines(t)
			continue
		}
		select {
		case <-s.quarantines.wake:
		case <-s.ctx.Done():
		}
	}
}

// commitQuarantines writes until the store has taken it: VMs that start know of
// a quarantine by it alone.
func (s *Server) commitQuarantines(t kv.Txn) {
	nextPause, _ := s.storeBackoff()
	for s.ctx.Err() == nil {
		_, err := s.store.Commit(s.ctx, t)
		if err == nil {
			return
		}
		s.storeFailed(err)
		s.sleep(nextPause())
	}
}

// applyQuarantine takes a change of a key below prefixQuarantine.
func (s *Server) applyQuarantine(c mirror.Change) {
	ev := new(ingress.QuarantineRead)
	err := ev.Fingerprint.UnmarshalText([]byte(strings.TrimPrefix(c.Key, prefixQuarantine)))
	if err == nil && !c.Removed {
		ev.Record = new(quarantine.Record)
		err = json.Unmarshal(c.Value, ev.Record)
	}
	if err == nil && ev.Record != nil && ev.Record.Fingerprint != ev.Fingerprint {
		err = errQuarantineKey
	}
	if err != nil {
		s.event(eventStore).WithError(err).WithField("key", c.Key).Error("quarantine in the store cannot be decoded")
		return
	}
	s.quarantines.setStored(ev.Fingerprint, !c.Removed)
	s.core.Post(ev)
}

var errQuarantineKey = errors.New("the record is that of another fingerprint")

// probe carries out a Probe.
func (s *Server) probe(p ingress.Probe) {
	s.metrics.probes.Add(1)
	go func() {
		s.core.Post(&ingress.Probed{Target: p.Target, Born: p.Born, Listening: checkListening(p.Addr, p.Timeout)})
	}()
}

// checkListening asks whether a process listens at an address.
func checkListening(addr string, wait time.Duration) ingress.Listening {
	c, err := dialTarget("tcp", addr, wait)
	switch {
	case err == nil:
		closeProbe(c)
		return ingress.ListeningYes
	case errors.Is(err, syscall.ECONNREFUSED):
		return ingress.ListeningNo
	default:
		return ingress.ListeningUnknown
	}
}

// closeProbe closes a connection that has carried nothing, so that no error
// could tell anything.
func closeProbe(c net.Conn) { _ = c.Close() }
