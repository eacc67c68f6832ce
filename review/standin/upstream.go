package main

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Names of header fields.
const (
	fieldID       = "X-Azurethread-Request-Id"
	fieldDeadline = "X-Azurethread-Deadline-Ms"
	fieldTarget   = "X-Azurethread-Expected-Instance"
	fieldStamp    = "X-Azurethread-Server-Stamp"
	fieldNotRun   = "X-Azurethread-Not-Executed"
	fieldInstance = "X-Azurethread-Instance-Id"
	fieldLoad     = "X-Azurethread-Server-Load"
)

// run is one request that an upstream began to work on.
type run struct {
	ID, Upstream, Method, URI, Host string
	Body                            [32]byte
	At                              time.Time
	Header                          http.Header
	Partial                         bool // the connection ended before the body did
}

// book records what upstreams have run.
type book struct {
	mu   sync.Mutex
	runs map[string][]run
	log  func(format string, a ...any)
}

func (b *book) add(r run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[r.ID] = append(b.runs[r.ID], r)
}

func (b *book) of(id string) []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// upstream is one upstream. behave answers a request; false closes the connection.
type upstream struct {
	id, service, zone, addr string
	slots                   int
	ln                      net.Listener
	books                   *book
	behave                  func(u *upstream, s *session, r *http.Request, body []byte) bool
	started                 time.Time
	answers                 atomic.Int64
	raw                     func(c net.Conn) // serves connections instead of behave; nil: none

	mu      sync.Mutex
	conns   map[net.Conn]bool
	running int
	closed  bool
	stop    chan struct{}
}

// session is one connection to an upstream.
type session struct {
	c     net.Conn
	n     int // requests received
	state map[string]int
}

func startUpstream(id, service, zone, addr string, slots int, b *book, st *store,
	behave func(u *upstream, s *session, r *http.Request, body []byte) bool) (*upstream, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	u := &upstream{id: id, service: service, zone: zone, addr: ln.Addr().String(), slots: slots, ln: ln, books: b, behave: behave,
		conns: map[net.Conn]bool{}, stop: make(chan struct{}), started: time.Now()}
	go u.accept()
	go u.beat(st)
	return u, nil
}

// beat writes the upstream's entry every 1.5 s.
func (u *upstream) beat(st *store) {
	for seq := 1; ; seq++ {
		st.put("servers/"+u.id, map[string]any{"service": u.service, "address": u.addr, "zone": u.zone, "version": "v1",
			"max_concurrency": u.slots, "state": "ready", "cold_remaining_ms": 0, "seq": seq, "born": u.started.UnixMilli()})
		select {
		case <-time.After(1500 * time.Millisecond):
		case <-u.stop:
			return
		}
	}
}

func (u *upstream) accept() {
	for {
		c, err := u.ln.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[c] = true
		closed := u.closed
		u.mu.Unlock()
		if closed {
			c.Close()
			return
		}
		go u.serve(c)
	}
}

func (u *upstream) serve(c net.Conn) {
	defer func() {
		c.Close()
		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
	}()
	if u.raw != nil {
		u.raw(c)
		return
	}
	br := bufio.NewReader(c)
	s := &session{c: c, state: map[string]int{}}
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		s.n++
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", fieldInstance, u.id)
			continue
		}
		if want := r.Header.Get(fieldTarget); want != "" && want != u.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", fieldInstance, u.id)
			continue
		}
		if !u.behave(u, s, r, body) {
			return
		}
	}
}

// recordRun records that the upstream begins to work on a request.
func (u *upstream) recordRun(r *http.Request, body []byte) {
	id := r.Header.Get(fieldID)
	u.books.add(run{ID: id, Upstream: u.id, Method: r.Method, URI: r.RequestURI, Host: r.Host, Body: sha256.Sum256(body), At: time.Now(), Header: r.Header.Clone()})
	u.books.log("upstream %s runs %s %s %s (%d bytes)", u.id, id, r.Method, r.RequestURI, len(body))
}

// answerBody is the body of u's answer to a request.
func (u *upstream) answerBody(id string, size int) string {
	b := fmt.Sprintf("answer of %s to %s;", u.id, id)
	if n := size - len(b); n > 0 {
		b += strings.Repeat(".", n-1) + "$"
	}
	return b
}

// answer returns a complete answer.
func (u *upstream) answer(status int, id, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: stamp-%s-%d\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), fieldID, id, fieldStamp, u.id, status, len(body), body)
}

// rejection is the answer of an upstream that rejects a request, as `fleetbench wire` shows it.
const rejection = "HTTP/1.1 503 Service Unavailable\r\n" + fieldNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"

func (u *upstream) close() {
	u.mu.Lock()
	if !u.closed {
		u.closed = true
		close(u.stop)
	}
	conns := u.conns
	u.conns = map[net.Conn]bool{}
	u.mu.Unlock()
	u.ln.Close()
	for c := range conns {
		c.Close()
	}
}
