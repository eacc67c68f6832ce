package store

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/config"
)

// encodeMsgpack encodes v like messages between daemons.
func encodeMsgpack(v any) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.SetCustomStructTag("json")
	e.UseCompactInts(true)
	err := e.Encode(v)
	return b.Bytes(), err
}

func decodeMsgpack(b []byte, v any) error {
	d := msgpack.NewDecoder(bytes.NewReader(b))
	d.SetCustomStructTag("json")
	return d.Decode(v)
}

// drain returns a shift with every kind of field set.
func drain() catalogue.Shift {
	at := time.Date(2026, 3, 1, 9, 0, 0, 5, time.UTC)
	return catalogue.Shift{
		ID: "drain-attiki-03", Owner: "statikos", Author: "eleni", Class: catalogue.Rehearsal,
		Service: "calc-lookup", From: "attiki", To: "kriti", State: catalogue.Running, ApprovedBy: "nikos",
		Limits: catalogue.Limits{
			MaxShare: 5000, Interval: catalogue.Duration(30 * time.Second),
			Window: catalogue.Window{Start: at, End: at.Add(time.Hour)},
		},
		Share: 500, SteppedAt: at.UnixNano(), Revision: 1764700000000, Generation: 3,
	}
}

// Guards against daemons that find another hash than stated and fetch snapshots
// without end: a catalogue goes from one daemon to another, or from the
// platform, where the local zone is not UTC. The codec must not change a value
// on the way, such as a time's zone.
func TestHashSurvivesTheWire(t *testing.T) {
	is := is.New(t)
	zone := time.Local
	time.Local = time.FixedZone("Athens", 2*60*60)
	defer func() { time.Local = zone }()
	c := &catalogue.Catalogue{
		Revision: 1764700000000,
		Services: []catalogue.Service{{Name: "calc-lookup", Timeout: catalogue.Duration(time.Second)}},
		Shifts:   []catalogue.Shift{drain(), {ID: "bare"}},
	}
	want, err := config.Hash(c)
	is.NoErr(err)
	s := &config.Snapshot{Format: config.Format, Revision: c.Revision, Hash: want, Parts: 1, Services: c.Services, Shifts: c.Shifts}
	b, err := encodeMsgpack(config.NewBody(s))
	is.NoErr(err)
	var body config.Body
	is.NoErr(decodeMsgpack(b, &body))
	m, err := body.Message()
	is.NoErr(err)
	got := m.(*config.Snapshot)
	hash, err := config.Hash(&catalogue.Catalogue{Revision: got.Revision, Services: got.Services, Shifts: got.Shifts})
	is.NoErr(err)
	is.Equal(hash, want)
	b, err = json.Marshal(c)
	is.NoErr(err)
	var read catalogue.Catalogue
	is.NoErr(json.Unmarshal(b, &read))
	hash, err = config.Hash(&read)
	is.NoErr(err)
	is.Equal(hash, want)
}

// BenchmarkMessageBytes reports the sizes of messages in msgpack and, for
// comparison with decide/config's benchmarks, in JSON.
func BenchmarkMessageBytes(b *testing.B) {
	digest := config.Digest{Format: 1, Revision: 1764700000000, Hash: 1 << 62, Age: 4000, ReadAge: 100}
	heartbeat := digest
	heartbeat.Root, heartbeat.Seq = "attiki-1-07", 1764700000000000000
	delta := config.Delta{Format: 1, From: 1764699000000, To: 1764700000000, Hash: 1 << 62, Shifts: []catalogue.Shift{drain()}}
	snapshot := config.Snapshot{Format: 1, Revision: 1764700000000, Hash: 1 << 62, Parts: 1}
	for range config.MaxPartEntries {
		snapshot.Shifts = append(snapshot.Shifts, drain())
	}
	for name, m := range map[string]config.Message{
		"digest":        &digest,
		"heartbeat":     &heartbeat,
		"want":          &config.UpdateRequest{Format: 1, Have: 1764700000000},
		"push-1-shift":  &config.Push{Root: "attiki-1-07", Delta: delta},
		"snapshot-part": &snapshot,
	} {
		b.Run(name, func(b *testing.B) {
			var size int
			for b.Loop() {
				p, err := encodeMsgpack(config.NewBody(m))
				if err != nil {
					b.Fatal(err)
				}
				size = len(p)
			}
			j, err := json.Marshal(config.NewBody(m))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(size), "msgpack-B")
			b.ReportMetric(float64(len(j)), "json-B")
		})
	}
}

// BenchmarkDocument measures the cost and size of the platform's document.
func BenchmarkDocument(b *testing.B) {
	for name, shifts := range map[string]int{"100-shifts": 100, "1000-shifts": 1000, "4000-shifts": 4000} {
		b.Run(name, func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			c := &catalogue.Catalogue{Revision: 1}
			for range shifts {
				s := drain()
				s.ID = fmt.Sprintf("drain-%016x", rng.Uint64())
				s.Limits.MaxShare = catalogue.Share(rng.IntN(catalogue.ShareUnit))
				s.SteppedAt = rng.Int64()
				s.Revision = rng.Uint64N(config.MaxRevision)
				c.Shifts = append(c.Shifts, s)
			}
			var d document
			next, err := d.next(c, opID(1), config.Version{})
			if err != nil {
				b.Fatal(err)
			}
			size := 0
			for b.Loop() {
				value, chunks, err := next.encode()
				if err != nil {
					b.Fatal(err)
				}
				size = len(value)
				for _, c := range chunks {
					size += len(c.value)
				}
			}
			b.ReportMetric(float64(size), "B")
		})
	}
}
