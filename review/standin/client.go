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
	"time"
)

// sent is one client attempt and what came of it.
type sent struct {
	ID, Method, URI, Host string
	Body                  [32]byte
	Idempotent            bool
	Key                   string
	At, Answered          time.Time
	Status                int // 0: no complete answer
	Stamp                 string
	Answer                string
	Err                   string
	GaveUp                bool
}

// ledger records what clients have sent.
type ledger struct {
	mu   sync.Mutex
	list []*sent
	next int
	log  func(format string, a ...any)
}

func (l *ledger) newID(prefix string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	return fmt.Sprintf("%s%06d", prefix, l.next)
}

func (l *ledger) add(s *sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, s)
}

// client is one client connection at a time.
type client struct {
	l    *ledger
	key  string // of its tenant; "": none
	addr string
	c    net.Conn
	br   *bufio.Reader
}

func (c *client) close() {
	if c.c != nil {
		c.c.Close()
		c.c = nil
	}
}

// do sends one request and waits for its answer, for at most the deadline and a second.
// giveUp closes the connection after that time; 0: never.
func (c *client) do(method, host, uri string, body []byte, idempotent bool, deadline, giveUp time.Duration) *sent {
	s := &sent{ID: c.l.newID("q"), Method: method, URI: uri, Host: host, Body: sha256.Sum256(body), Idempotent: idempotent, Key: c.key}
	c.l.add(s)
	if c.c == nil {
		nc, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			s.Err = "no connection"
			return s
		}
		c.c, c.br = nc, bufio.NewReader(nc)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, uri, host, fieldID, s.ID, fieldDeadline, deadline.Milliseconds())
	if c.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", c.key)
	}
	if len(body) > 0 || method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	s.At = time.Now()
	c.l.log("client sends %s %s %s (%d bytes)", s.ID, method, uri, len(body))
	limit := deadline + time.Second
	if giveUp > 0 {
		limit = giveUp
	}
	_ = c.c.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(c.c, b.String()); err != nil {
		s.Err = err.Error()
		c.close()
		return s
	}
	r, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		s.Err, s.GaveUp = err.Error(), giveUp > 0
		c.l.log("client gets no answer to %s: %v", s.ID, err)
		c.close()
		return s
	}
	answer, err := io.ReadAll(r.Body)
	s.Answered = time.Now()
	if err != nil {
		s.Err, s.GaveUp = err.Error(), giveUp > 0
		c.l.log("client gets part of an answer to %s: %v", s.ID, err)
		c.close()
		return s
	}
	s.Status, s.Stamp, s.Answer = r.StatusCode, r.Header.Get(fieldStamp), string(answer)
	if id := r.Header.Get(fieldID); id != "" && id != s.ID {
		s.Err = "answer to " + id
	}
	c.l.log("client gets %d to %s (stamp %q, %d bytes)", s.Status, s.ID, s.Stamp, len(answer))
	if r.Close {
		c.close()
	}
	return s
}

// verdicts compares what was sent, answered and run with the rules, as written.
func verdicts(l *ledger, b *book) map[string][]string {
	out := map[string][]string{}
	add := func(rule, format string, a ...any) { out[rule] = append(out[rule], fmt.Sprintf(format, a...)) }
	l.mu.Lock()
	defer l.mu.Unlock()
	byID := map[string]*sent{}
	for _, s := range l.list {
		byID[s.ID] = s
		runs := b.of(s.ID)
		if !s.Idempotent && len(runs) > 1 {
			add("TWICE", "%s %s ran %d times: at %s and %s", s.ID, s.Method, len(runs), runs[0].Upstream, runs[1].Upstream)
		}
		switch s.Status {
		case 429, 503, 408, 421:
			if !s.Idempotent && len(runs) > 0 {
				add("REFUSED", "%s %s was answered %d and ran at %s", s.ID, s.Method, s.Status, runs[0].Upstream)
			}
		}
		if s.Status == 0 {
			continue
		}
		if s.Err != "" {
			add("MIXED", "%s: %s", s.ID, s.Err)
		}
		if s.Status/100 == 2 {
			whole := false
			for _, r := range runs {
				if s.Stamp == fmt.Sprintf("stamp-%s-200", r.Upstream) && strings.HasPrefix(s.Answer, fmt.Sprintf("answer of %s to %s;", r.Upstream, s.ID)) &&
					(strings.HasSuffix(s.Answer, "$") || strings.HasSuffix(s.Answer, s.ID+";")) {
					whole = true
				}
			}
			if !whole {
				add("MIXED", "%s got a success with stamp %q and %d bytes: %.60q", s.ID, s.Stamp, len(s.Answer), s.Answer)
			}
		} else if s.Stamp != "" && !strings.HasSuffix(s.Stamp, fmt.Sprintf("-%d", s.Status)) {
			add("MIXED", "%s got %d with stamp %s", s.ID, s.Status, s.Stamp)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, runs := range b.runs {
		s := byID[id]
		for _, r := range runs {
			if s == nil || r.Method != s.Method || r.URI != s.URI || (!r.Partial && r.Body != s.Body) {
				add("UNASKED", "%s: %s %s ran at %s", id, r.Method, r.URI, r.Upstream)
			}
		}
	}
	return out
}
