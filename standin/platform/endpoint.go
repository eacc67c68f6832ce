package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	api "github.com/azurethread/azurethread/serve/platform"
)

const (
	keyPrefix = "/v1/kv/"
	// listenAttempts and listenPause bound the wait until the port is free
	// again after a Refusing outage.
	listenAttempts = 50
	listenPause    = 20 * time.Millisecond
	// invalidSessionText is the published API's error text for an unknown
	// session.
	invalidSessionText = "invalid session"
)

// Endpoint is one HTTP address of the service.
type Endpoint struct {
	server *Server
	addr   string

	outageMu sync.Mutex // serializes SetOutage and close
	mu       sync.Mutex
	http     *http.Server // nil while refusing
	outage   Outage
	changed  chan struct{} // closed and replaced when outage changes
}

// Endpoint opens an HTTP endpoint on addr. Its outage can be set independently
// of other endpoints, to simulate a failure domain that can't reach the service.
func (s *Server) Endpoint(addr string) (*Endpoint, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("standin platform: %w", err)
	}
	e := &Endpoint{server: s, addr: l.Addr().String(), changed: make(chan struct{})}
	e.serve(l)
	s.mu.Lock()
	s.endpoints = append(s.endpoints, e)
	s.mu.Unlock()
	return e, nil
}

// Addr returns the endpoint's host:port.
func (e *Endpoint) Addr() string { return e.addr }

func (e *Endpoint) serve(l net.Listener) {
	h := &http.Server{Handler: e.handler()}
	e.mu.Lock()
	e.http = h
	e.mu.Unlock()
	go h.Serve(l) // returns when h is closed
}

// SetOutage sets the outage of this endpoint only.
func (e *Endpoint) SetOutage(o Outage) error {
	e.outageMu.Lock()
	defer e.outageMu.Unlock()
	e.mu.Lock()
	previous := e.outage
	e.outage = o
	close(e.changed)
	e.changed = make(chan struct{})
	e.mu.Unlock()
	switch {
	case o == Refusing && previous != Refusing:
		return e.closeServer()
	case o != Refusing && previous == Refusing:
		return e.reopen()
	}
	return nil
}

func (e *Endpoint) reopen() error {
	var err error
	for range listenAttempts {
		var l net.Listener
		if l, err = net.Listen("tcp", e.addr); err == nil {
			e.serve(l)
			return nil
		}
		time.Sleep(listenPause)
	}
	return fmt.Errorf("standin platform: reopen endpoint: %w", err)
}

// closeServer closes the listener and all connections.
func (e *Endpoint) closeServer() error {
	e.mu.Lock()
	h := e.http
	e.http = nil
	e.mu.Unlock()
	if h == nil {
		return nil
	}
	return h.Close()
}

func (e *Endpoint) close() error {
	e.outageMu.Lock()
	defer e.outageMu.Unlock()
	return e.closeServer()
}

// outageState implements outageSource.
func (e *Endpoint) outageState() (Outage, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.outage, e.changed
}

func (e *Endpoint) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+keyPrefix, e.getKey)
	m.HandleFunc("PUT "+keyPrefix, e.putKey)
	m.HandleFunc("DELETE "+keyPrefix, e.deleteKey)
	m.HandleFunc("PUT /v1/session/create", e.createSession)
	m.HandleFunc("PUT /v1/session/renew/{id}", e.renewSession)
	m.HandleFunc("PUT /v1/session/destroy/{id}", e.destroySession)
	m.HandleFunc("GET /v1/machines", e.getMachines)
	return m
}

// answerError answers with the HTTP error for err. For other errors, such as
// errConnectionCut, it aborts the handler, which closes the connection without
// an answer.
func answerError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, api.ErrTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case errors.Is(err, api.ErrLeaseLost):
		http.Error(w, invalidSessionText, http.StatusInternalServerError)
	case errors.Is(err, errTTLTooShort):
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		panic(http.ErrAbortHandler)
	}
}

// parseBlockingQuery parses the index and wait parameters of a blocking query.
func parseBlockingQuery(q url.Values) (after uint64, wait time.Duration, err error) {
	if q.Get("index") == "" {
		return 0, 0, nil
	}
	after, err = strconv.ParseUint(q.Get("index"), 10, 64)
	if err != nil {
		return 0, 0, err
	}
	if q.Get("wait") == "" {
		return after, maxWait, nil
	}
	wait, err = time.ParseDuration(q.Get("wait"))
	return after, wait, err
}

// wireEntry is the published API's JSON form of an entry.
type wireEntry struct {
	Key         string
	Value       []byte
	Flags       uint64
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

func answerEntries(w http.ResponseWriter, es []api.Entry, index uint64) {
	w.Header().Set(api.IndexHeader, strconv.FormatUint(index, 10))
	if len(es) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	ws := make([]wireEntry, 0, len(es))
	for _, e := range es {
		ws = append(ws, wireEntry{Key: e.Key, Value: e.Value, ModifyIndex: e.Index, Session: string(e.Lease)})
	}
	answerJSON(w, ws)
}

func answerJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// Fails only if the caller has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

func (e *Endpoint) getKey(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, keyPrefix)
	q := r.URL.Query()
	if q.Has("recurse") {
		e.getPrefix(w, r, key)
		return
	}
	after, wait, err := parseBlockingQuery(q)
	if err != nil || key == "" {
		http.Error(w, "invalid key, index or wait", http.StatusBadRequest)
		return
	}
	entry, found, err := e.server.get(r.Context(), e, key, after, wait)
	if err != nil {
		answerError(w, err)
		return
	}
	var es []api.Entry
	if found {
		es = append(es, entry)
	}
	answerEntries(w, es, entry.Index)
}

func (e *Endpoint) getPrefix(w http.ResponseWriter, r *http.Request, prefix string) {
	es, err := e.server.list(r.Context(), e, prefix)
	if err != nil {
		answerError(w, err)
		return
	}
	index := uint64(firstIndex)
	for _, entry := range es {
		index = max(index, entry.Index)
	}
	answerEntries(w, es, index)
}

// readBody reads a value, at most one byte beyond the limit. Handlers call it
// before a call can be delayed, because net/http detects a disconnected client
// only after the body has been read.
func readBody(r *http.Request) ([]byte, error) {
	return io.ReadAll(io.LimitReader(r.Body, api.MaxValueSize+1))
}

func (e *Endpoint) putKey(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, keyPrefix)
	q := r.URL.Query()
	value, err := readBody(r)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if key == "" || q.Has("cas") == q.Has("acquire") {
		http.Error(w, "key and exactly one of cas and acquire required", http.StatusBadRequest)
		return
	}
	var next uint64
	if q.Has("acquire") {
		next, err = e.server.acquire(r.Context(), e, key, value, api.LeaseID(q.Get("acquire")))
	} else {
		index, parseErr := strconv.ParseUint(q.Get("cas"), 10, 64)
		if parseErr != nil {
			http.Error(w, "invalid cas", http.StatusBadRequest)
			return
		}
		next, err = e.server.compareAndSwap(r.Context(), e, key, value, index)
	}
	if err != nil {
		answerError(w, err)
		return
	}
	answerJSON(w, next != 0)
}

func (e *Endpoint) deleteKey(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, keyPrefix)
	var index uint64
	if q := r.URL.Query(); q.Has("cas") {
		var err error
		if index, err = strconv.ParseUint(q.Get("cas"), 10, 64); err != nil {
			http.Error(w, "invalid cas", http.StatusBadRequest)
			return
		}
	}
	ok, err := e.server.remove(r.Context(), e, key, index)
	if err != nil {
		answerError(w, err)
		return
	}
	answerJSON(w, ok)
}

// wireSession is the published API's JSON form of a session.
type wireSession struct {
	ID  string
	TTL string
}

func (e *Endpoint) createSession(w http.ResponseWriter, r *http.Request) {
	value, err := readBody(r)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var s wireSession
	if err := json.Unmarshal(value, &s); err != nil {
		http.Error(w, "invalid JSON of session", http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(s.TTL)
	if err != nil {
		http.Error(w, "invalid TTL of session", http.StatusBadRequest)
		return
	}
	id, err := e.server.grant(r.Context(), e, ttl)
	if err != nil {
		answerError(w, err)
		return
	}
	answerJSON(w, wireSession{ID: string(id), TTL: s.TTL})
}

func (e *Endpoint) renewSession(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	ok, err := e.server.renew(r.Context(), e, api.LeaseID(id))
	if err != nil {
		answerError(w, err)
		return
	}
	if !ok {
		http.Error(w, "session not found", http.StatusNotFound)
		return
	}
	answerJSON(w, []wireSession{{ID: id}})
}

func (e *Endpoint) destroySession(w http.ResponseWriter, r *http.Request) {
	if err := e.server.revoke(r.Context(), e, api.LeaseID(r.PathValue("id"))); err != nil {
		answerError(w, err)
		return
	}
	answerJSON(w, true)
}

func (e *Endpoint) getMachines(w http.ResponseWriter, r *http.Request) {
	after, wait, err := parseBlockingQuery(r.URL.Query())
	if err != nil {
		http.Error(w, "invalid index or wait", http.StatusBadRequest)
		return
	}
	l, err := e.server.machineList(r.Context(), e, after, wait)
	if err != nil {
		answerError(w, err)
		return
	}
	w.Header().Set(api.IndexHeader, strconv.FormatUint(l.Version, 10))
	answerJSON(w, l)
}
