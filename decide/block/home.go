package block

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/azurethread/azurethread/decide/fleet"
)

// Home is the home region of a block and its preferred failure domains.
type Home struct {
	Region fleet.Region
	// Domains are failure domains of Region in order of preference. Empty means
	// no preference.
	Domains []fleet.Domain
}

// HomeID identifies a Home within one Table and the tables patched from it.
type HomeID uint16

// maxHomes is the number of distinct HomeIDs.
const maxHomes = 1 << 16

// Topology lists the regions that a source may use, with their failure domains.
// A nil Topology accepts every name.
type Topology map[fleet.Region][]fleet.Domain

// check returns an *UnknownNameError for the first name of h that is not in t.
func (t Topology) check(h Home) error {
	if t == nil {
		return nil
	}
	domains, ok := t[h.Region]
	if !ok {
		return &UnknownNameError{Region: h.Region}
	}
	for _, d := range h.Domains {
		if !slices.Contains(domains, d) {
			return &UnknownNameError{Region: h.Region, Domain: d}
		}
	}
	return nil
}

// homeSet assigns HomeIDs to homes in the order in which they are first seen.
type homeSet struct {
	homes  []Home
	hashes []uint64 // hash of each home, by HomeID
	ids    map[string]HomeID
}

func newHomeSet(homes []Home) *homeSet {
	s := &homeSet{ids: make(map[string]HomeID, len(homes))}
	for _, h := range homes {
		// The homes of a table are already distinct and within the limit.
		_, _ = s.id(h)
	}
	return s
}

// id returns the HomeID of h, and adds h if it is new.
func (s *homeSet) id(h Home) (HomeID, error) {
	k := homeText(h)
	if id, ok := s.ids[k]; ok {
		return id, nil
	}
	if len(s.homes) == maxHomes {
		return 0, errTooManyHomes
	}
	id := HomeID(len(s.homes))
	h.Domains = slices.Clone(h.Domains)
	s.homes = append(s.homes, h)
	s.hashes = append(s.hashes, xxhash.Sum64String(k))
	s.ids[k] = id
	return id, nil
}

// homeText returns the text form of a home: "region domain,domain".
func homeText(h Home) string {
	var b strings.Builder
	b.WriteString(string(h.Region))
	b.WriteByte(' ')
	for i, d := range h.Domains {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(string(d))
	}
	return b.String()
}
