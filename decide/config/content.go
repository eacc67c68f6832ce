package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Hash returns the content hash of c. The hash is the sum of the hashes of the
// entries and of the revision. It is therefore independent of the order of the
// entries, and a delta updates it in time proportional to the delta.
func Hash(c *catalogue.Catalogue) (uint64, error) {
	n, err := newContent(c)
	if err != nil {
		return 0, err
	}
	return n.hash(), nil
}

// content is an immutable catalogue in canonical form: entries sorted by id and
// times in UTC.
type content struct {
	cat      *catalogue.Catalogue
	entrySum uint64 // sum of the entries' hashes
}

// newContent returns the canonical form of c and leaves c unchanged.
func newContent(c *catalogue.Catalogue) (*content, error) {
	n := &catalogue.Catalogue{
		Revision: c.Revision,
		Services: slices.Clone(c.Services),
		Shifts:   slices.Clone(c.Shifts),
	}
	convertToUTC(n.Shifts)
	slices.SortFunc(n.Services, compareServices)
	slices.SortFunc(n.Shifts, compareShifts)
	if err := checkUnique(n); err != nil {
		return nil, err
	}
	sum, err := sumEntries(n.Services, n.Shifts)
	if err != nil {
		return nil, err
	}
	return &content{cat: n, entrySum: sum}, nil
}

// hash returns the content hash, which covers the revision and all entries.
func (c *content) hash() uint64 {
	return c.entrySum + xxhash.Sum64String(fmt.Sprintf("revision %d", c.cat.Revision))
}

// version returns the revision and the content hash.
func (c *content) version() Version {
	return Version{Revision: c.cat.Revision, Hash: c.hash()}
}

func compareServices(a, b catalogue.Service) int { return cmp.Compare(a.Name, b.Name) }

func compareShifts(a, b catalogue.Shift) int { return cmp.Compare(a.ID, b.ID) }

// convertToUTC converts the times of shifts to UTC: msgpack decodes into the
// local time zone, and the same instant in two time zones would hash differently.
func convertToUTC(shifts []catalogue.Shift) {
	for i := range shifts {
		w := &shifts[i].Limits.Window
		w.Start = w.Start.UTC()
		w.End = w.End.UTC()
	}
}

func checkUnique(c *catalogue.Catalogue) error {
	for i := 1; i < len(c.Services); i++ {
		if c.Services[i].Name == c.Services[i-1].Name {
			return fmt.Errorf("config: service %q twice", c.Services[i].Name)
		}
	}
	for i := 1; i < len(c.Shifts); i++ {
		if c.Shifts[i].ID == c.Shifts[i-1].ID {
			return fmt.Errorf("config: shift %q twice", c.Shifts[i].ID)
		}
	}
	return nil
}

func sumEntries(services []catalogue.Service, shifts []catalogue.Shift) (uint64, error) {
	var sum uint64
	for i := range services {
		h, err := hashEntry("service", &services[i])
		if err != nil {
			return 0, err
		}
		sum += h
	}
	for i := range shifts {
		h, err := hashEntry("shift", &shifts[i])
		if err != nil {
			return 0, err
		}
		sum += h
	}
	return sum, nil
}

func hashEntry(kind string, entry any) (uint64, error) {
	b, err := json.Marshal(entry)
	if err != nil {
		return 0, fmt.Errorf("config: %s: %w", kind, err)
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(kind)
	_, _ = d.Write(b)
	return d.Sum64(), nil
}

// apply returns c with the changes of d, or an error if the hash of the result
// differs from the one that d states.
func (c *content) apply(d *Delta) (*content, error) {
	shifts := slices.Clone(d.Shifts)
	convertToUTC(shifts)
	n := &catalogue.Catalogue{Revision: d.To}
	var dropped catalogue.Catalogue
	n.Services, dropped.Services = merge(c.cat.Services, d.Services, d.RemovedServices, compareServices, serviceName)
	n.Shifts, dropped.Shifts = merge(c.cat.Shifts, shifts, d.RemovedShifts, compareShifts, shiftID)
	if err := checkUnique(n); err != nil {
		return nil, err
	}
	added, err := sumEntries(d.Services, shifts)
	if err != nil {
		return nil, err
	}
	removed, err := sumEntries(dropped.Services, dropped.Shifts)
	if err != nil {
		return nil, err
	}
	out := &content{cat: n, entrySum: c.entrySum + added - removed}
	if out.hash() != d.Hash {
		return nil, errHash
	}
	return out, nil
}

func serviceName(s catalogue.Service) fleet.ServiceName { return s.Name }

func shiftID(s catalogue.Shift) string { return s.ID }

// merge returns the entries of old with those in changed added or replaced and
// those in removed deleted, sorted, and the entries of old that it dropped.
func merge[E any, K cmp.Ordered](old, changed []E, removed []K, compare func(a, b E) int, key func(E) K) (merged, dropped []E) {
	obsolete := make(map[K]bool, len(changed)+len(removed))
	for _, k := range removed {
		obsolete[k] = true
	}
	for _, e := range changed {
		obsolete[key(e)] = true
	}
	merged = make([]E, 0, len(old)+len(changed))
	for _, e := range old {
		if obsolete[key(e)] {
			dropped = append(dropped, e)
			continue
		}
		merged = append(merged, e)
	}
	merged = append(merged, changed...)
	slices.SortFunc(merged, compare)
	return merged, dropped
}

// diff returns the keys that were changed or added between old and new, and the
// keys that were removed. old and new are sorted by key, and so are the results.
func diff[E comparable, K cmp.Ordered](old, new []E, key func(E) K) (changed, removed []K) {
	i := 0
	for _, n := range new {
		for i < len(old) && key(old[i]) < key(n) {
			removed = append(removed, key(old[i]))
			i++
		}
		if i < len(old) && key(old[i]) == key(n) {
			if old[i] != n {
				changed = append(changed, key(n))
			}
			i++
			continue
		}
		changed = append(changed, key(n))
	}
	for ; i < len(old); i++ {
		removed = append(removed, key(old[i]))
	}
	return changed, removed
}
