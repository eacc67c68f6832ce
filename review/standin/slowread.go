package main

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slow-reader"] = slowReader }

// Figures of the case.
const (
	uploadBytes   = 300_000                 // of at most 360,000 (req_bytes, max)
	readPause     = 2500 * time.Millisecond // the upstream reads nothing for so long
	receiveBuffer = 64 << 10                // of an upstream's connection
	uploadLimit   = 8 * time.Second         // deadline of the uploads
	lateWork      = 5 * time.Second         // the last sixth of grace_s begins so long after SIGTERM
)

// slowReader: upstreams begin to work on uploads at their heads. With trouble, they pause for
// some time before they read the bodies. The VM that carries the uploads is stopped as planned.
func slowReader(w *world) error {
	if err := w.start("poa-a", "poa-b"); err != nil {
		return err
	}
	w.store.put("op/config", config(7, "hulo84.example", []string{"bundles"}, routeRule("/bundles/", "upload", "bundles", 8000, 2)))
	for i := range 3 {
		u, err := w.upstream(fmt.Sprintf("i-000%d", i+1), "bundles", "poa-a", 9, nil)
		if err != nil {
			return err
		}
		u.raw = func(c net.Conn) { w.serveUploads(u, c) }
	}
	if err := w.waitReady(); err != nil {
		return err
	}
	var wg sync.WaitGroup
	body := make([]byte, uploadBytes)
	stopped := make(chan time.Time)
	results := make([]*sent, 6)
	for i := range results {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &client{l: w.ledger, addr: w.vms[0].front}
			defer c.close()
			c.do("POST", "hulo84.example", "/bundles/2f", []byte("a small one"), false, uploadLimit, 0)
			<-stopped
			results[i] = c.do("POST", "hulo84.example", "/bundles/2f", body, false, uploadLimit, 0)
		}()
	}
	time.Sleep(4500 * time.Millisecond) // no disruption for stable_window_ms
	w.log("SIGTERM to %s", w.vms[0].name)
	if err := w.vms[0].cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	at := time.Now()
	time.Sleep(300 * time.Millisecond)
	close(stopped)
	wg.Wait()
	time.Sleep(readPause) // until the upstreams have seen the ends of their connections
	for _, s := range results {
		runs := w.books.of(s.ID)
		if s.Stamp != "" || len(runs) == 0 {
			continue
		}
		ended := time.Now()
		if !s.Answered.IsZero() {
			ended = s.Answered
		}
		if ended.Sub(at) < lateWork && ended.Sub(s.At) < uploadLimit {
			w.fail("LOST", "%s was broken off %.1f s after SIGTERM, %.1f s after it was sent, with status %d; %s was at work", s.ID, ended.Sub(at).Seconds(), ended.Sub(s.At).Seconds(), s.Status, runs[0].Upstream)
		}
	}
	return nil
}

// serveUploads serves one connection to an upstream that takes uploads.
func (w *world) serveUploads(u *upstream, c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetReadBuffer(receiveBuffer)
	}
	br := bufio.NewReaderSize(c, 4096)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := r.Header.Get(fieldID)
		w.log("upstream %s begins to work on %s", u.id, id)
		began := time.Now()
		if w.trouble {
			time.Sleep(readPause)
		}
		body, err := io.ReadAll(r.Body)
		w.log("upstream %s has read %d bytes of %s after %.2f s: %v", u.id, len(body), id, time.Since(began).Seconds(), err)
		if err != nil {
			u.books.add(run{ID: id, Upstream: u.id, Method: r.Method, URI: r.RequestURI, Host: r.Host, At: began, Partial: true})
			return
		}
		u.books.add(run{ID: id, Upstream: u.id, Method: r.Method, URI: r.RequestURI, Host: r.Host, Body: sha256.Sum256(body), At: began})
		if _, err := c.Write([]byte(u.answer(200, id, u.answerBody(id, 200)))); err != nil {
			return
		}
	}
}
