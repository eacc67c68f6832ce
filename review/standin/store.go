package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"create_revision"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is the platform's metadata store: keys with revisions, leases, watches and
// conditional writes.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	events  []item
	times   []time.Time // of the events
	dropped uint64      // the last revision whose event is no longer kept
	leases  map[uint64]*lease
	last    uint64
	changed chan struct{}
	// maxPage is the largest number of items on a page of a range read.
	maxPage int
	srv     *http.Server
	addr    string
}

// newStore starts a store.
func newStore(addr string) (*store, error) {
	s := &store{rev: 100, items: map[string]item{}, leases: map[uint64]*lease{}, last: 5000, changed: make(chan struct{}), maxPage: 500}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s.addr = ln.Addr().String()
	s.srv = &http.Server{Handler: s}
	go s.srv.Serve(ln)
	go s.expire()
	return s, nil
}

func (s *store) expire() {
	for {
		time.Sleep(100 * time.Millisecond)
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys. mu must be held.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for k, it := range s.items {
		if it.Lease == id {
			s.removeKey(k)
		}
	}
}

func (s *store) bump() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// history is how long events are kept.
const history = 20 * time.Second

// record keeps an event, and drops those that are too old.
func (s *store) record(e item) {
	now := time.Now()
	s.events, s.times = append(s.events, e), append(s.times, now)
	for len(s.times) > 0 && now.Sub(s.times[0]) > history {
		s.dropped = s.events[0].Revision
		s.events, s.times = s.events[1:], s.times[1:]
	}
}

func (s *store) writeKey(key string, value []byte, l uint64) {
	s.rev++
	it := item{Key: key, Value: value, Revision: s.rev, Created: s.rev, Lease: l}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.record(it)
	s.bump()
}

func (s *store) removeKey(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.rev, Tombstone: true})
	s.bump()
}

// put writes a key as the operator or an upstream does, and returns the size of the value.
func (s *store) put(key string, v any) int {
	b, _ := json.Marshal(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeKey(key, b, 0)
	return len(b)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeKey(key)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch p := r.URL.Path; {
	case p == "/v1/kv-key":
		s.key(w, r)
	case p == "/v1/kv-range":
		s.readRange(w, r)
	case p == "/v1/kv-watch":
		s.watch(w, r)
	case p == "/v1/kv-txn":
		s.txn(w, r)
	case p == "/v1/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(p, "/v1/kv-keep/"):
		s.keep(w, strings.TrimPrefix(p, "/v1/kv-keep/"))
	case strings.HasPrefix(p, "/v1/kv-lease-end/"):
		s.leaseEnd(w, strings.TrimPrefix(p, "/v1/kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, it)
}

func (s *store) readRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	keys := []string{}
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > s.maxPage
	if more {
		keys = keys[:s.maxPage]
	}
	out := []item{}
	for _, k := range keys {
		out = append(out, s.items[k])
	}
	rev := s.rev
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": out, "more_pages": more, "as_of": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		out := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				out = append(out, e)
			}
		}
		rev, changed, gone := s.rev, s.changed, after < s.dropped
		s.mu.Unlock()
		if gone {
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		if len(out) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": out, "as_of": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": out, "as_of": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var b struct {
		On []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected_revision"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	items, failed := []item{}, false
	for _, c := range b.On {
		it, ok := s.items[c.Key]
		if ok {
			items = append(items, it)
		}
		failed = failed || it.Revision != c.Revision
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": items})
		return
	}
	for _, x := range b.Writes {
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, x := range b.Writes {
		s.writeKey(x.Key, x.Value, x.Lease)
	}
	for _, k := range b.Remove {
		s.removeKey(k)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var b struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&b)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	ttl := time.Duration(max(b.TTL, 1000)) * time.Millisecond
	s.leases[s.last] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.last, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseUint(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[n]
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) leaseEnd(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseUint(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[n] == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.endLease(n)
	reply(w, http.StatusOK, map[string]any{})
}
