package peer

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/load"
	"github.com/azurethread/azurethread/decide/member"
	"github.com/azurethread/azurethread/decide/member/membertest"
)

// segmentBytes is the overhead of a TCP segment in bytes: link, IP and TCP headers,
// and its share of the acknowledgement.
const segmentBytes = 100

// capacityPoint is one measurement of docs/capacity/member.json.
type capacityPoint struct {
	Name string       `json:"name"`
	X    fleetSize    `json:"x"`
	Y    measurements `json:"y"`
}

type fleetSize struct {
	Members  int `json:"members"`  // entry VMs per domain
	Domains  int `json:"domains"`  // of the whole fleet
	Regions  int `json:"regions"`  // of the whole fleet
	Services int `json:"services"` // of the catalogue
}

type measurements struct {
	// Sent by one daemon, including the overhead of segments: the mean over all
	// daemons, and the maximum, which is that of a representative.
	BytesPerS    float64 `json:"bytes_per_s"`
	MaxBytesPerS float64 `json:"max_bytes_per_s"`
	MsgsPerS     float64 `json:"msgs_per_s"`
	MaxMsgsPerS  float64 `json:"max_msgs_per_s"`
	// CPU time of the reducers and of encoding, without decoding at the
	// receiver: the mean over all daemons.
	CPUMicrosPerS float64 `json:"cpu_us_per_s"`
	StateBytes    float64 `json:"state_bytes"`
}

// meter counts what each entry VM sends, with the load reports attached to its
// messages.
type meter struct {
	n        *membertest.Network
	load     map[fleet.VMID]*load.State
	bytes    map[fleet.VMID]int
	msgs     map[fleet.VMID]int
	kinds    map[uint8]int
	err      error
	services int
}

func newMeter(n *membertest.Network, services int) *meter {
	m := &meter{n: n, services: services, load: make(map[fleet.VMID]*load.State)}
	m.reset()
	n.Sent = m.recordSend
	n.Stepped = m.updateLoad
	return m
}

func (m *meter) reset() {
	m.bytes = make(map[fleet.VMID]int)
	m.msgs = make(map[fleet.VMID]int)
	m.kinds = make(map[uint8]int)
}

func (m *meter) state(n *membertest.EntryVM) *load.State {
	s := m.load[n.VM.ID]
	if s == nil {
		s = load.New(n.VM, load.Options{})
		m.load[n.VM.ID] = s
	}
	return s
}

// updateLoad updates the load reducer after a change of the membership.
func (m *meter) updateLoad(n *membertest.EntryVM, out *member.Ready) {
	if !out.DutiesChanged && len(out.Changed) == 0 {
		return
	}
	m.state(n).Step(m.n.Now, fleetOf(n.State))
}

func fleetOf(s *member.State) *load.Membership {
	d := s.Duties()
	f := &load.Membership{Representative: d.Representative, Group: d.Group, Peers: d.Peers}
	for _, v := range s.Domains(nil) {
		f.Domains = append(f.Domains, load.DomainOf{Region: v.Region, Domain: v.Domain})
	}
	return f
}

// recordSend counts a message, with the attached load report, as one frame.
func (m *meter) recordSend(from *membertest.EntryVM, s *member.Send) {
	b, err := EncodeMember(s.Msg)
	if err != nil {
		m.err = err
		return
	}
	bodies := []Body{b}
	if r := m.state(from).Attach(m.n.Now, load.Scope(s.Scope)); r != nil {
		lb, err := EncodeLoad(r)
		if err != nil {
			m.err = err
			return
		}
		bodies = append(bodies, lb)
		if to := m.n.VM(s.To.ID); to != nil && to.Up {
			m.state(to).Step(m.n.Now, &load.Received{From: from.VM.ID, Report: r})
		}
	}
	payload, err := appendData(1<<20, bodies)
	if err != nil {
		m.err = err
		return
	}
	size := len(payload) + FrameOverhead + segmentBytes
	m.kinds[s.Msg.Kind()] += size
	m.bytes[from.VM.ID] += size
	m.msgs[from.VM.ID]++
	if s.Msg.Kind() == member.KindSpread {
		m.bytes[s.To.ID] += FrameOverhead + 5 + segmentBytes // its acknowledgement
		m.msgs[s.To.ID]++
	}
}

func (m *meter) samples(i int) []load.Sample {
	var out []load.Sample
	for k := range m.services {
		out = append(out, load.Sample{
			Service:  fleet.ServiceName(fmt.Sprintf("service-%d", k)),
			InFlight: uint32(3 + (i+k)%40),
			Queued:   uint32(i % 3),
			Slots:    144,
			Capacity: 140,
			Rate:     uint32(300 + i%200),
			Errors:   uint16(i % 40),
			P99:      time.Duration(5+i%30) * time.Millisecond,
		})
	}
	return out
}

// measure runs a converged fleet without requests for some simulated seconds.
func measure(x fleetSize, seconds int) (measurements, *meter, error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	n := membertest.New(7)
	n.Latency = latency
	m := newMeter(n, x.Services)
	vms := fleetOfSize(x)
	for _, vm := range vms {
		n.Start(vm, vms)
	}
	m.advance(60)
	runtime.GC()
	runtime.ReadMemStats(&after)
	m.reset()
	started := time.Now()
	m.advance(seconds)
	cpu := time.Since(started)
	var y measurements
	for _, vm := range vms {
		b := float64(m.bytes[vm.ID]) / float64(seconds)
		c := float64(m.msgs[vm.ID]) / float64(seconds)
		y.BytesPerS += b / float64(len(vms))
		y.MsgsPerS += c / float64(len(vms))
		y.MaxBytesPerS = max(y.MaxBytesPerS, b)
		y.MaxMsgsPerS = max(y.MaxMsgsPerS, c)
	}
	y.CPUMicrosPerS = float64(cpu.Microseconds()) / float64(seconds) / float64(len(vms))
	y.StateBytes = float64(after.HeapAlloc-before.HeapAlloc) / float64(len(vms))
	return y, m, m.err
}

// advance advances the simulation; each VM measures its load once a second.
func (m *meter) advance(seconds int) {
	for range seconds {
		for i, node := range m.n.VMs {
			m.state(node).Step(m.n.Now, &load.Measured{Samples: m.samples(i)})
		}
		m.n.Run(time.Second)
	}
}

func latency(from, to *fleet.VM) time.Duration {
	switch {
	case from.Domain == to.Domain:
		return 300 * time.Microsecond
	case from.Region == to.Region:
		return 1500 * time.Microsecond
	default:
		return 55 * time.Millisecond
	}
}

// fleetOfSize distributes the domains over the regions as evenly as possible.
func fleetOfSize(x fleetSize) []fleet.VM {
	var out []fleet.VM
	for d := range x.Domains {
		r := d % x.Regions
		region := fleet.Region(fmt.Sprintf("region-%02d", r))
		domain := fleet.Domain(fmt.Sprintf("region-%02d-%d", r, 1+d/x.Regions))
		for i := range x.Members {
			out = append(out, membertest.NewVM(region, domain, i))
		}
	}
	return out
}

// TestCapacityPoints measures the points to which the model in docs/CAPACITY.md is
// fitted and writes them to the file named by AZURETHREAD_CAPACITY_MEMBER. If the
// variable is not set, it measures one small point only.
func TestCapacityPoints(t *testing.T) {
	is := is.New(t)
	path := os.Getenv("AZURETHREAD_CAPACITY_MEMBER")
	if path == "" {
		y, _, err := measure(fleetSize{Members: 2, Domains: 6, Regions: 3, Services: 3}, 10)
		is.NoErr(err)
		is.True(y.BytesPerS > 0)
		return
	}
	var points []capacityPoint
	for _, p := range capacityPoints {
		y, m, err := measure(p.X, 20)
		is.NoErr(err)
		p.Y = y
		points = append(points, p)
		t.Logf("%s %+v %+v kinds %v", p.Name, p.X, p.Y, m.kinds)
	}
	out, err := json.MarshalIndent(points, "", "  ")
	is.NoErr(err)
	is.NoErr(os.WriteFile(path, append(out, '\n'), 0o644))
}

var capacityPoints = []capacityPoint{
	{Name: "members", X: fleetSize{Members: 4, Domains: 6, Regions: 3, Services: 3}},
	{Name: "members", X: fleetSize{Members: 8, Domains: 6, Regions: 3, Services: 3}},
	{Name: "members", X: fleetSize{Members: 16, Domains: 6, Regions: 3, Services: 3}},
	{Name: "members", X: fleetSize{Members: 43, Domains: 6, Regions: 3, Services: 3}},
	{Name: "members", X: fleetSize{Members: 86, Domains: 6, Regions: 3, Services: 3}},
	{Name: "domains", X: fleetSize{Members: 8, Domains: 6, Regions: 6, Services: 3}},
	{Name: "domains", X: fleetSize{Members: 8, Domains: 12, Regions: 6, Services: 3}},
	{Name: "domains", X: fleetSize{Members: 8, Domains: 20, Regions: 6, Services: 3}},
	{Name: "domains", X: fleetSize{Members: 8, Domains: 40, Regions: 6, Services: 3}},
	{Name: "domains", X: fleetSize{Members: 8, Domains: 77, Regions: 6, Services: 3}},
	{Name: "regions", X: fleetSize{Members: 8, Domains: 44, Regions: 2, Services: 3}},
	{Name: "regions", X: fleetSize{Members: 8, Domains: 44, Regions: 5, Services: 3}},
	{Name: "regions", X: fleetSize{Members: 8, Domains: 44, Regions: 11, Services: 3}},
	{Name: "regions", X: fleetSize{Members: 8, Domains: 44, Regions: 22, Services: 3}},
	{Name: "letter", X: fleetSize{Members: 43, Domains: 77, Regions: 22, Services: 3}},
	{Name: "statikos", X: fleetSize{Members: 2, Domains: 6, Regions: 3, Services: 3}},
}
