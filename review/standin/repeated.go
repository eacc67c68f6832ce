package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

type behaviour = func(u *upstream, s *session, r *http.Request, body []byte) bool

func init() { cases["repeated-rejection"] = repeatedRejection }

// Figures of the disruption: garble with how = "extra late".
const (
	garbledUpstreams = 3               // of 5: share 0.6
	garbleFor        = 5 * time.Second // for_s; it comes twice
	rejectedEach     = 40              // one answer in 40 is a rejection: x below 0.03
)

// repeatedRejection: some answers of upstreams are rejections, as they are full for a moment.
// With trouble, a rejection comes a second time where the answer to the next request on its
// connection is due. That request runs.
func repeatedRejection(w *world) error {
	if err := w.start("poa-a", "poa-b"); err != nil {
		return err
	}
	var garbled atomic.Bool
	var extras atomic.Int64
	serve := func(u *upstream, s *session, r *http.Request, body []byte) bool {
		u.recordRun(r, body)
		time.Sleep(30 * time.Millisecond)
		id := r.Header.Get(fieldID)
		_, err := s.c.Write([]byte(u.answer(200, id, u.answerBody(id, 200))))
		return err == nil
	}
	busy := func(u *upstream, s *session, r *http.Request, body []byte) bool {
		rejected := s.state["rejected"] == 1
		s.state["rejected"] = 0
		if u.answers.Add(1)%rejectedEach == 0 {
			s.state["rejected"] = 1
			w.log("upstream %s rejects %s", u.id, r.Header.Get(fieldID))
			_, err := s.c.Write([]byte(rejection))
			return err == nil
		}
		if rejected && garbled.Load() {
			extras.Add(1)
			w.log("upstream %s sends its last rejection a second time; %s is due next", u.id, r.Header.Get(fieldID))
			if _, err := s.c.Write([]byte(rejection)); err != nil {
				return false
			}
		}
		return serve(u, s, r, body)
	}
	w.store.put("op/config", config(7, "hulo84.example", []string{"claims"}, routeRule("/claims/", "non_idempotent", "claims", 2000, 2)))
	for i := range 5 {
		b := serve
		if i < garbledUpstreams {
			b = busy
		}
		if _, err := w.upstream(fmt.Sprintf("i-000%d", i+1), "claims", []string{"poa-a", "poa-b"}[i%2], 9, b); err != nil {
			return err
		}
	}
	if err := w.waitReady(); err != nil {
		return err
	}
	var wg sync.WaitGroup
	end := time.Now().Add(14 * time.Second)
	for i := range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &client{l: w.ledger, addr: w.vms[i%2].front}
			defer c.close()
			for time.Now().Before(end) {
				c.do("POST", "hulo84.example", "/claims/2f", []byte("a claim"), false, 2500*time.Millisecond, 0)
			}
		}()
	}
	for range 2 {
		time.Sleep(time.Second)
		garbled.Store(w.trouble)
		time.Sleep(garbleFor)
		garbled.Store(false)
	}
	wg.Wait()
	all := int64(0)
	for _, u := range w.ups {
		all += u.answers.Load()
	}
	w.log("%d rejections were sent a second time, of %d answers of these upstreams", extras.Load(), all)
	return nil
}
