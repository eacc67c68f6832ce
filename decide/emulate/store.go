package emulate

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/mirror"
)

// Keys of the store's items.
const (
	prefixTarget   = "target/"
	prefixEvacuate = "evacuate/"
)

const (
	// maxReadPause is within which time after the store's return a VM reads it.
	maxReadPause = 1600 * time.Millisecond
	// askPause is how long after its first read of a new era a VM asks another one.
	askPause = 400 * time.Millisecond
	// minWritePause and maxWritePause bound when after the store's return a lost word is
	// written again.
	minWritePause = 200 * time.Millisecond
	maxWritePause = 1200 * time.Millisecond
	// drainBound is how long after its word to leave a target may still get requests, and
	// calmTime how long a process has to run until that binds it.
	drainBound = 2500 * time.Millisecond
	calmTime   = 4 * time.Second
	// seenTime is how long before an outage a word was written that all VMs have seen.
	seenTime = time.Second
)

// store models the metadata store of a pattern in which it comes back from copies of
// earlier states. Each entry VM reads it into a mirror, as a real one does.
type store struct {
	at     mirror.Position
	items  map[string]mirror.Item
	log    []mirror.Change // of this era
	copied copiedState
	down   bool
	downAt clock.Time
	words  map[string]string // what targets and operators have written last
}

// copiedState is a copy of the store.
type copiedState struct {
	revision mirror.Revision
	items    map[string]mirror.Item
}

// ReturnCounts counts what the store's returns led to.
type ReturnCounts struct {
	Returns int `json:"returns"`
	// Late is the number of requests that reached a target more than drainBound after
	// its registration said that it drains, or was removed.
	Late int `json:"late"`
}

// hasStore reports whether the pattern needs a model of the store.
func (p *Pattern) hasStore() bool {
	return slices.ContainsFunc(p.Events, func(e Event) bool { return e.Kind == ReturnStore })
}

// startStore starts the store and schedules its copies.
func (sim *simulation) startStore() {
	sim.store = &store{at: mirror.Position{Revision: 1}, items: make(map[string]mirror.Item), words: make(map[string]string)}
	for _, t := range sim.targetList {
		sim.store.put(targetKey(t), encodeTarget(t.registration(sim.now)))
	}
	for i := range sim.pattern.Events {
		e := &sim.pattern.Events[i]
		if e.Kind == ReturnStore {
			sim.schedule(sim.loadStart.Add(seconds(e.Start-e.Value)), sim.store.save)
		}
	}
	sim.store.save()
}

func targetKey(t *target) string { return prefixTarget + string(t.registered.ID) }

func encodeTarget(t ingress.Target) string {
	b, err := json.Marshal(t)
	if err != nil {
		panic(err) // all its fields can be encoded
	}
	return string(b)
}

// put writes a key, or removes it if the value is empty.
func (s *store) put(key, value string) {
	s.words[key] = value
	s.at.Revision++
	it := mirror.Item{Key: key, Value: []byte(value), Revision: s.at.Revision}
	_, present := s.items[key]
	switch {
	case value != "":
		s.items[key] = it
	case present:
		delete(s.items, key)
	default:
		return
	}
	s.log = append(s.log, mirror.Change{Item: it, Removed: value == ""})
}

func (s *store) save() {
	if !s.down {
		s.copied = copiedState{s.at.Revision, maps.Clone(s.items)}
	}
}

// writeStore makes a change of targets or operators, as soon as the store is up.
func (sim *simulation) writeStore(key, value string) {
	if sim.store.down {
		sim.after(minWritePause, func() { sim.writeStore(key, value) })
		return
	}
	sim.store.put(key, value)
	sim.noteWord(key)
	for _, v := range sim.vms {
		sim.after(propagationTime, func() { sim.readStore(v) })
	}
}

// returnStore takes the store away and brings it back from its copy.
func (sim *simulation) returnStore(e *Event) {
	s := sim.store
	s.down, s.downAt = true, sim.now
	sim.after(seconds(e.Duration), func() {
		before := s.items
		s.at = mirror.Position{Era: s.at.Era + 1, Revision: s.copied.revision}
		s.items, s.log, s.down = maps.Clone(s.copied.items), nil, false
		sim.recorder.result.Returns.Returns++
		for _, key := range slices.Sorted(maps.Keys(s.words)) {
			if string(before[key].Value) != string(s.items[key].Value) {
				pause := minWritePause + time.Duration(sim.rng.Float64()*float64(maxWritePause-minWritePause))
				sim.after(pause, func() { sim.writeStore(key, s.words[key]) })
			}
		}
		for _, v := range sim.vms {
			sim.after(time.Duration(sim.rng.Float64()*float64(maxReadPause)), func() { sim.readStore(v) })
		}
	})
}

// readStore brings v's mirror up to date.
func (sim *simulation) readStore(v *vm) {
	s := sim.store
	if v.reducer == nil || s.down {
		return
	}
	if v.mirror.Valid() && v.mirror.At().Era == s.at.Era {
		changes, _ := v.mirror.Apply(sim.now, slices.Clone(s.log), s.at)
		sim.applyChanges(v, changes)
		return
	}
	entered := v.mirror.Valid()
	changes, _ := v.mirror.Replace(sim.now, mirror.State{Items: slices.Collect(maps.Values(s.items)), At: s.at})
	sim.applyChanges(v, changes)
	if entered {
		sim.after(askPause, func() { sim.askForRetained(v) })
		sim.scheduleExpiry(v)
	}
}

// startMirror gives a VM that starts what the store and another VM know.
func (sim *simulation) startMirror(v *vm) {
	v.mirror = mirror.New(storeRules{})
	v.startedAt = sim.now
	other := sim.otherVM(v)
	if sim.store.down && other != nil {
		changes, _ := v.mirror.Replace(sim.now, mirror.State{
			Items: other.mirror.Items(""), At: other.mirror.At(), Base: other.mirror.Base(), Retained: other.mirror.Retained(sim.now),
		})
		sim.applyChanges(v, changes)
	} else {
		sim.readStore(v)
		sim.askForRetained(v)
	}
	sim.scheduleExpiry(v)
}

// otherVM returns a VM that v can ask; nil if there is none.
func (sim *simulation) otherVM(v *vm) *vm {
	for i := range sim.vms {
		o := sim.vms[(i+int(sim.rng.Uint64()%uint64(len(sim.vms))))%len(sim.vms)]
		if o != v && o.reducer != nil && !o.cut && !v.cut && o.mirror.Valid() {
			return o
		}
	}
	return nil
}

// askForRetained gives v what another VM retains from earlier eras.
func (sim *simulation) askForRetained(v *vm) {
	if other := sim.otherVM(v); v.reducer != nil && other != nil && other.mirror.At().Era == v.mirror.At().Era {
		sim.applyChanges(v, v.mirror.Merge(sim.now, other.mirror.Retained(sim.now)))
		sim.scheduleExpiry(v)
	}
}

// scheduleExpiry lets the store's state replace what v has retained for long enough.
func (sim *simulation) scheduleExpiry(v *vm) {
	process, next := v.processNumber, v.mirror.NextExpiry()
	if next == clock.Never {
		return
	}
	sim.schedule(next, func() {
		if v.reducer != nil && v.processNumber == process {
			sim.applyChanges(v, v.mirror.Expire(sim.now))
		}
	})
}

// applyChanges passes changes of v's mirror to its reducer.
func (sim *simulation) applyChanges(v *vm, changes []mirror.Change) {
	var targets ingress.TargetsChanged
	for _, c := range changes {
		if domain, ok := strings.CutPrefix(c.Key, prefixEvacuate); ok {
			sim.step(v, &ingress.Evacuated{Domain: fleet.Domain(domain), Begin: !c.Removed})
			continue
		}
		id := fleet.TargetID(strings.TrimPrefix(c.Key, prefixTarget))
		if c.Removed {
			targets.Removed = append(targets.Removed, id)
			continue
		}
		targets.Updated = append(targets.Updated, decodeTarget(c.Value))
	}
	if len(targets.Updated)+len(targets.Removed) > 0 {
		sim.step(v, &targets)
	}
}

func decodeTarget(value []byte) (t ingress.Target) {
	if err := json.Unmarshal(value, &t); err != nil {
		panic(err) // encodeTarget has written it
	}
	return t
}

// noteWord records when a target's word to leave was written. One that VMs may not have
// seen before an outage counts from when it is written again.
func (sim *simulation) noteWord(key string) {
	t := sim.targets[fleet.TargetID(strings.TrimPrefix(key, prefixTarget))]
	if t == nil {
		return
	}
	value := sim.store.words[key]
	switch unseen := t.leftAt.After(sim.store.downAt.Add(-seenTime)) && t.leftAt.Before(sim.store.downAt); {
	case value != "" && !decodeTarget([]byte(value)).Draining:
		t.leftAt = 0
	case t.leftAt == 0 || unseen:
		t.leftAt = sim.now
	}
}

// countLate counts a request that reaches a target too late.
func (sim *simulation) countLate(s *targetSend) {
	left := s.target.leftAt
	if left != 0 && sim.now.Sub(left) > drainBound && sim.now.Sub(s.vm.startedAt) > calmTime {
		sim.recorder.result.Returns.Late++
	}
}

// storeRules interpret the store's items.
type storeRules struct{}

// Class implements mirror.Rules.
func (storeRules) Class(key string) mirror.Class {
	if strings.HasPrefix(key, prefixTarget) {
		return mirror.Instance
	}
	return mirror.Transient
}

// Compare implements mirror.Rules.
func (storeRules) Compare(key string, a, b []byte) (int, bool) {
	if !strings.HasPrefix(key, prefixTarget) || len(a) == 0 || len(b) == 0 {
		return 0, false
	}
	ta, tb := decodeTarget(a), decodeTarget(b)
	if ta.StartedAt != tb.StartedAt || ta.Draining == tb.Draining {
		return 0, ta.StartedAt == tb.StartedAt
	}
	if ta.Draining {
		return 1, true
	}
	return -1, true
}
