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

// prefixQuarantine is the prefix of one key per quarantined fingerprint. VMs
// that were cut off or restarted learn of quarantines from these keys, and
// operators lift a quarantine by deleting its key.
const prefixQuarantine = "azurethread/quarantine/"

// quarantineQueue holds changes that are not written to the store yet.
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

// add queues a change, which replaces an earlier one of the same fingerprint.
func (w *quarantineQueue) add(q *ingress.Quarantine) {
	w.mu.Lock()
	w.pending[q.Record.Fingerprint] = *q
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// nextTxn removes queued changes and returns a transaction that writes them.
// Removing a key that is not in the copy needs no call; if it appears there
// later, it is removed then.
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
		if err == nil { // a record can always be encoded as JSON
			t.Writes = append(t.Writes, kv.Write{Key: key, Value: value})
		}
	}
	return t
}

// maxWritesPerTxn is the maximum number of keys that the store accepts in one
// call.
const maxWritesPerTxn = 32

// setStored records whether the store has the key of a fingerprint.
func (w *quarantineQueue) setStored(f quarantine.Fingerprint, stored bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if stored {
		w.stored[f] = true
	} else {
		delete(w.stored, f)
	}
}

// quarantineChanged handles a change of a quarantine.
func (s *Server) quarantineChanged(q *ingress.Quarantine) {
	if q.Keep || q.Remove {
		s.quarantines.add(q)
	}
	rec := &q.Record
	line := s.event(eventQuarantine).WithField("fingerprint", rec.Fingerprint)
	if !rec.Quarantined() {
		line.Info("quarantine lifted: request may be sent to targets again")
		return
	}
	line.WithField("route", rec.Route).WithField("ends", rec.Ended).WithField("trials", rec.Trials).
		WithField("until", rec.TrialAt()).Warn("request quarantined: it is not sent to targets because it crashes them")
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

// commitQuarantines repeats a transaction until the store has accepted it: VMs
// that start learn of a quarantine only from the store.
func (s *Server) commitQuarantines(t kv.Txn) {
	nextPause, _ := s.storeBackoff()
	for s.ctx.Err() == nil {
		_, err := s.store.Commit(s.ctx, t)
		s.noteEra(s.store.Era())
		if err == nil {
			return
		}
		s.storeFailed(err)
		s.sleep(nextPause())
	}
}

// applyQuarantine applies a change of a key below prefixQuarantine.
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

var errQuarantineKey = errors.New("fingerprint in the record differs from the key")

// probe executes a Probe and posts its result.
func (s *Server) probe(p ingress.Probe, result func(ingress.Listening) ingress.Event) {
	s.metrics.probes.Add(1)
	go func() { s.core.Post(result(checkListening(p.Addr, p.Timeout))) }()
}

// checkListening reports whether a process listens at an address.
func checkListening(addr string, timeout time.Duration) ingress.Listening {
	c, err := dialTarget("tcp", addr, timeout)
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

// closeProbe closes a connection on which nothing was sent; an error is of no
// interest.
func closeProbe(c net.Conn) { _ = c.Close() }
