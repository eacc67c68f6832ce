// Package admintest implements the interfaces of package admin with an in-memory
// catalogue, for tests of the API and its clients.
package admintest

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/change"
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
	"github.com/azurethread/azurethread/serve/admin"
)

// Memory is a Changer, OutcomeFinder and Viewer for one catalogue in memory. Its
// fields may be set before use; afterwards call Update.
type Memory struct {
	// Now is the time of every change.
	Now time.Time
	// LoseAnswers makes changes succeed but return an error as if the answer were lost.
	LoseAnswers bool
	// PlatformDown simulates an unreachable platform: changes fail with not-run.
	PlatformDown bool
	// FailOutcomes makes queries for outcomes fail.
	FailOutcomes bool
	// Lagging are the entry VMs that never apply a revision.
	Lagging []fleet.VMID

	mu        sync.Mutex
	cat       *catalogue.Catalogue
	revisions map[string]uint64 // revision by operation id
}

// New returns a Memory that holds an empty catalogue.
func New() *Memory {
	return &Memory{
		Now:       time.Date(2026, 3, 1, 22, 0, 0, 0, time.UTC),
		cat:       &catalogue.Catalogue{},
		revisions: make(map[string]uint64),
	}
}

// Update changes the fields of m while it is in use.
func (m *Memory) Update(set func(*Memory)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	set(m)
}

// ClearCatalogue removes the catalogue, as at an entry VM that has just started.
func (m *Memory) ClearCatalogue() { m.cat = nil }

// Change implements admin.Changer.
func (m *Memory) Change(_ context.Context, op change.Operation) (admin.Accepted, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.PlatformDown {
		return admin.Accepted{}, &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonConnect}
	}
	next, err := change.Apply(*m.cat, op, clock.FromWall(m.Now))
	if err != nil {
		return admin.Accepted{}, err
	}
	m.cat = &next
	m.revisions[op.ID] = next.Revision
	if m.LoseAnswers {
		return admin.Accepted{}, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost}
	}
	return admin.Accepted{Operation: op.ID, Revision: next.Revision, Settled: true}, nil
}

// FindOutcome implements admin.OutcomeFinder.
func (m *Memory) FindOutcome(_ context.Context, operation string) (admin.Outcome, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.FailOutcomes {
		return admin.Outcome{}, &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonConnect, Err: errors.New("platform is silent")}
	}
	if r, ok := m.revisions[operation]; ok {
		return admin.Outcome{Operation: operation, Verdict: verdict.Ran, Revision: r}, nil
	}
	return admin.Outcome{Operation: operation, Verdict: verdict.NotRun}, nil
}

// Catalogue implements admin.Viewer.
func (m *Memory) Catalogue() *catalogue.Catalogue {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cat
}

// Status implements admin.Viewer.
func (m *Memory) Status() admin.Status {
	s := admin.Status{
		VM: "entry-1", Region: "attiki", Domain: "attiki-1", PlatformReachable: true,
		Members: []admin.Member{{VM: "entry-1", Region: "attiki", Domain: "attiki-1", State: fleet.Live.String()}},
		Loads: []admin.Load{{
			Region: "kriti", Service: "calc-lookup", InFlight: 12, Capacity: 48,
			Headroom: 7500, Age: catalogue.Duration(200 * time.Millisecond),
		}},
	}
	c := m.Catalogue()
	if c == nil {
		return s
	}
	s.Revision = c.Revision
	for _, x := range c.Shifts {
		s.Shifts = append(s.Shifts, admin.ShiftStatus{
			ID: x.ID, State: x.State, Service: x.Service, From: x.From, To: x.To,
			Share: x.Share, Moved: x.Share, MaxShare: x.Limits.MaxShare, Hold: x.Hold,
		})
	}
	return s
}

// InForce implements admin.Viewer.
func (m *Memory) InForce(_ context.Context, revision uint64) admin.InForce {
	m.mu.Lock()
	defer m.mu.Unlock()
	const total = 3
	return admin.InForce{Revision: revision, Applied: total - len(m.Lagging), Total: total, Missing: append([]fleet.VMID{}, m.Lagging...)}
}
