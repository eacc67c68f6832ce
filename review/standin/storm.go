package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["config-storm"] = configStorm }

// Figures of the disruption, and the bound of the rule.
const (
	manyRoutes  = 1372                    // big_config, count; it comes twice
	stormGap    = 60 * time.Millisecond   // config_storm, gap_s
	stormFor    = 1500 * time.Millisecond // config_storm, for_s
	configApply = 4 * time.Second         // config_apply_ms
	revokeBound = 5 * time.Second         // revoke_ms
)

// configStorm: a configuration with many routes changes in quick succession. The last
// version moves a route to another service, and takes a key away.
func configStorm(w *world) error {
	if err := w.start("poa-a", "poa-b", "cwb-a"); err != nil {
		return err
	}
	serve := func(u *upstream, s *session, r *http.Request, body []byte) bool {
		u.recordRun(r, body)
		id := r.Header.Get(fieldID)
		_, err := s.c.Write([]byte(u.answer(200, id, u.answerBody(id, 200))))
		return err == nil
	}
	services := []string{"docket", "claims", "bundles"}
	routes := 0
	rules := func(service string, timeoutMS int) []m {
		list := []m{routeRule("/claims/", "non_idempotent", service, 2000, 2)}
		for i := range routes {
			rule := routeRule(fmt.Sprintf("/lepu%03d/%04d/", i%10, i), "idempotent", "docket", timeoutMS, 2)
			rule["action"] = m{"traffic_split": []m{{"service": "docket", "weight": 90}, {"service": "bundles", "weight": 10}},
				"timeout_ms": timeoutMS, "max_attempts": 2, "allowed_regions": []string{}}
			list = append(list, rule)
		}
		return list
	}
	version := 7
	put := func(service string, keys ...string) {
		c := config(version, "hulo84.example", services, rules(service, 1500+version)...)
		c["tenants"] = []m{{"name": "tenant-1", "api_keys": keys, "rate_per_s": 0, "burst": 0}}
		size := w.store.put("op/config", c)
		w.log("the store acknowledges version %08x (%d bytes, %s serves /claims/, keys %v)", version, size, service, keys)
		version += 3
	}
	put("claims", "key-1", "key-2")
	for i, z := range []string{"poa-a", "poa-b", "cwb-a", "cwb-b"} {
		for j, s := range services {
			if _, err := w.upstream(fmt.Sprintf("i-%s-%d%d", s, i, j), s, z, 9, serve); err != nil {
				return err
			}
		}
	}
	if err := w.waitReady(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // the machines are in touch
	for range 2 {
		routes += manyRoutes
		put("claims", "key-1", "key-2")
		time.Sleep(4 * time.Second)
	}
	if w.trouble {
		for end := time.Now().Add(stormFor); time.Now().Before(end); time.Sleep(stormGap) {
			put("claims", "key-1", "key-2")
		}
	}
	put("bundles", "key-1")
	acknowledged := time.Now()
	clients := []*client{}
	for _, v := range w.vms {
		clients = append(clients, &client{l: w.ledger, addr: v.front, key: "key-1"}, &client{l: w.ledger, addr: v.front, key: "key-2"})
	}
	for time.Since(acknowledged) < 26*time.Second {
		for _, c := range clients {
			c.do("POST", "hulo84.example", "/claims/2f", []byte("a claim"), false, 2500*time.Millisecond, 0)
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, c := range clients {
		c.close()
	}
	old, revoked := 0, 0
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	for _, s := range w.ledger.list {
		after := s.At.Sub(acknowledged)
		for _, r := range w.books.of(s.ID) {
			switch {
			case s.Key == "key-2" && after > revokeBound:
				revoked++
				w.fail("CONFIG", "%s, sent %.1f s after the acknowledgement with the key taken away, ran at %s", s.ID, after.Seconds(), r.Upstream)
			case s.Key == "key-1" && after > configApply && r.Upstream[:8] == "i-claims":
				old++
				w.fail("CONFIG", "%s, sent %.1f s after the acknowledgement, ran at %s of the old service", s.ID, after.Seconds(), r.Upstream)
			}
		}
	}
	w.log("after the bounds, %d requests ran at the old service, and %d with the key that was taken away", old, revoked)
	return nil
}
