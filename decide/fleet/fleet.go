// Package fleet describes the machines that traffic steering works with and
// their locations: regions contain failure domains, failure domains contain
// sites, and a site contains entry VMs and targets.
package fleet

// Region is a group of failure domains close to each other, such as "attiki".
type Region string

// Domain is a failure domain: machines that fail or are cut off together.
// Domain names are unique over all regions, such as "attiki-1".
type Domain string

// Site is a place inside a failure domain that clients can be steered to. A
// small deployment has one site per domain, with the same name.
type Site string

// ServiceName names a service of the catalogue, such as "permit-file".
type ServiceName string

// VMID identifies an entry VM's address slot across restarts.
type VMID string

// TargetID identifies a target (upstream) across restarts.
type TargetID string

// Incarnation numbers the processes that have run under one VMID; a restart
// takes a higher one, so that messages about an earlier process can be
// recognized.
type Incarnation uint64

// State is the life-cycle state of a machine.
type State uint8

const (
	// Live machines take work.
	Live State = iota
	// Leaving machines finish what they hold and take no new work.
	Leaving
	// Dead machines are gone, as far as the observer knows.
	Dead
)

// String returns "live", "leaving" or "dead".
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	default:
		return "dead"
	}
}

// VM describes one entry VM.
type VM struct {
	ID        VMID   `json:"id"`
	Region    Region `json:"region"`
	Domain    Domain `json:"domain"`
	Site      Site   `json:"site"`
	CallAddr  string `json:"call_addr"`  // host:port for callers and forwarded requests
	PeerAddr  string `json:"peer_addr"`  // host:port for frames between entry VMs
	AdminAddr string `json:"admin_addr"` // host:port for operators
	// GatewayAddr is the host:port for requests that entry VMs of other
	// regions send to targets near this VM; empty: it accepts none.
	GatewayAddr string      `json:"gateway_addr,omitempty"`
	Incarnation Incarnation `json:"incarnation"`
	State       State       `json:"state"`
	// Cores is the VM's share of a processor, in cores; 0: not stated.
	Cores float64 `json:"cores,omitempty"`
}

// Target describes one target (upstream) of one service.
type Target struct {
	ID          TargetID    `json:"id"`
	Service     ServiceName `json:"service"`
	Region      Region      `json:"region"`
	Domain      Domain      `json:"domain"`
	Site        Site        `json:"site"`
	Addr        string      `json:"addr"`        // host:port
	Slots       int         `json:"slots"`       // requests it works on at once
	Connections int         `json:"connections"` // connections it accepts from all entry VMs together
	State       State       `json:"state"`
}

// List is the platform's list of machines, which lags behind their actual
// state.
type List struct {
	Version uint64   `json:"version"` // rises with every change the platform has noticed
	VMs     []VM     `json:"vms"`
	Targets []Target `json:"targets"`
}
