package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
)

// maxLookupBodySize limits the answer to a look-up, in bytes.
const maxLookupBodySize = 1 << 20

// errNoEntryVM means that a look-up offers no entry VM for a request.
var errNoEntryVM = errors.New("caller: look-up offers no entry VM")

// EntryVM is one entry VM in the answer to a look-up.
type EntryVM struct {
	ID     fleet.VMID   `json:"id"`
	Addr   string       `json:"addr"`
	Region fleet.Region `json:"region"`
	Domain fleet.Domain `json:"domain"`
	Tokens []string     `json:"tokens"`
}

// Lookup is the answer to a look-up.
type Lookup struct {
	Service  fleet.ServiceName `json:"service"`
	Revision uint64            `json:"revision"`
	TTL      int64             `json:"ttl_ms"`
	Client   string            `json:"client"` // must be sent with each request
	EntryVMs []EntryVM         `json:"entry_vms"`
}

// cachedLookup is a cached Lookup. Each token is removed when it is used.
type cachedLookup struct {
	Lookup
	expires time.Time
}

// route is the entry VM and token for one send.
type route struct {
	vm    EntryVM
	token string // empty for an idempotent request
	// client is the Client field of the look-up, sent with each request.
	client string
}

// Lookup looks up the entry VMs of a service without using the cache. It tries
// the entry addresses in order until one succeeds.
func (c *Caller) Lookup(ctx context.Context, service fleet.ServiceName) (Lookup, error) {
	var errs []error
	for round := range lookupRounds {
		if round > 0 && !sleep(ctx, lookupPause) {
			break
		}
		for _, addr := range c.options.EntryAddrs {
			l, err := c.requestLookup(ctx, addr, service)
			if err == nil {
				return l, nil
			}
			errs = append(errs, err)
		}
	}
	return Lookup{}, fmt.Errorf("caller: look-up of %s: %w", service, errors.Join(errs...))
}

func (c *Caller) requestLookup(ctx context.Context, addr string, service fleet.ServiceName) (Lookup, error) {
	q := url.Values{
		"service": {string(service)},
		"client":  {c.options.Client},
		"tokens":  {strconv.Itoa(c.options.Tokens)},
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/lookup?"+q.Encode(), nil)
	if err != nil {
		return Lookup{}, err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return Lookup{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxLookupBodySize))
	if err != nil {
		return Lookup{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return Lookup{}, fmt.Errorf("%s: status %d: %.200s", addr, resp.StatusCode, body)
	}
	var l Lookup
	if err := json.Unmarshal(body, &l); err != nil {
		return Lookup{}, fmt.Errorf("%s: %w", addr, err)
	}
	if len(l.EntryVMs) == 0 {
		return Lookup{}, fmt.Errorf("%s: %w", addr, errNoEntryVM)
	}
	return l, nil
}

// chooseRoute chooses the first entry VM that has not been tried, with a token
// if the request needs one. If the cache offers none, it makes one new look-up.
func (c *Caller) chooseRoute(ctx context.Context, r Request, tried map[fleet.VMID]bool) (route, error) {
	if c.direct() {
		return c.nextTargetRoute(), nil
	}
	if chosen, ok := c.cachedRoute(r, tried); ok {
		return chosen, nil
	}
	answer, err := c.Lookup(ctx, r.Service)
	if err != nil {
		return route{}, err
	}
	l := c.cacheLookup(r.Service, answer)
	if chosen, ok := c.takeRoute(l, r, tried); ok {
		return chosen, nil
	}
	clear(tried) // every entry VM has been tried: start over
	if chosen, ok := c.takeRoute(l, r, tried); ok {
		return chosen, nil
	}
	return route{}, errNoEntryVM
}

func (c *Caller) nextTargetRoute() route {
	c.mu.Lock()
	defer c.mu.Unlock()
	addr := c.options.Targets[c.nextTargetIndex%len(c.options.Targets)]
	c.nextTargetIndex++
	return route{vm: EntryVM{ID: fleet.VMID(addr), Addr: addr}}
}

func (c *Caller) cacheLookup(service fleet.ServiceName, answer Lookup) *cachedLookup {
	l := &cachedLookup{
		Lookup:  answer,
		expires: time.Now().Add(time.Duration(answer.TTL) * time.Millisecond),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cache[service] = l
	return l
}

// cachedRoute chooses a route from the cached look-up, unless that has expired.
func (c *Caller) cachedRoute(r Request, tried map[fleet.VMID]bool) (route, bool) {
	c.mu.Lock()
	l := c.cache[r.Service]
	c.mu.Unlock()
	if l == nil || !time.Now().Before(l.expires) {
		return route{}, false
	}
	return c.takeRoute(l, r, tried)
}

// takeRoute chooses a route from a look-up and removes the token it uses.
func (c *Caller) takeRoute(l *cachedLookup, r Request, tried map[fleet.VMID]bool) (route, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range l.EntryVMs {
		vm := &l.EntryVMs[i]
		if tried[vm.ID] {
			continue
		}
		if r.Idempotent {
			return route{vm: *vm, client: l.Client}, true
		}
		if len(vm.Tokens) == 0 {
			// The system chose the order of the entry VMs, so make a new
			// look-up for more tokens instead of skipping this one.
			return route{}, false
		}
		token := vm.Tokens[0]
		vm.Tokens = vm.Tokens[1:]
		return route{vm: *vm, token: token, client: l.Client}, true
	}
	return route{}, false
}

// dropLookup removes the look-up of a service from the cache.
func (c *Caller) dropLookup(service fleet.ServiceName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cache, service)
}

// sleep waits for d. It reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
