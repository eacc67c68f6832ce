package capacity

import (
	"encoding/json"
	"fmt"

	"github.com/azurethread/azurethread/decide/steer/slope"
)

// fleetPoint is a measurement of control traffic in one fleet, as written by
// the benchmark of serve/peer: several costs of a fleet that has several sizes.
// Each group of points varies one of these sizes.
type fleetPoint struct {
	Name string `json:"name"` // the size that is varied, or the name of a single point
	X    struct {
		Members float64 `json:"members"`
		Domains float64 `json:"domains"`
		Regions float64 `json:"regions"`
	} `json:"x"`
	Y struct {
		BytesPerS     float64 `json:"bytes_per_s"`
		MaxBytesPerS  float64 `json:"max_bytes_per_s"`
		MsgsPerS      float64 `json:"msgs_per_s"`
		MaxMsgsPerS   float64 `json:"max_msgs_per_s"`
		CPUMicrosPerS float64 `json:"cpu_us_per_s"`
		StateBytes    float64 `json:"state_bytes"`
	} `json:"y"`
	Cores int    `json:"cores"`
	Date  string `json:"date"`
}

const fleetPointsCommand = "AZURETHREAD_CAPACITY_MEMBER=$PWD/docs/capacity/member.json go test -cpu 1 -run TestCapacityPoints -timeout 30m ./serve/peer"

// parseFleetPoints parses fleet points and returns them as series named
// "<cost>/<varied size>".
func parseFleetPoints(text []byte) ([]slope.Series, error) {
	var points []fleetPoint
	if err := json.Unmarshal(text, &points); err != nil {
		return nil, fmt.Errorf("fleet points: %w", err)
	}
	var all []slope.Series
	for _, p := range points {
		for _, s := range p.costs() {
			all = appendPoints(all, s)
		}
	}
	return all, nil
}

// costs returns the costs of a point as series of one point each.
func (p *fleetPoint) costs() []slope.Series {
	x, label := p.varied()
	list := []struct {
		name, title, unit string
		y                 float64
	}{
		{"control-bytes", "control sent at rest by a daemon, mean", "bytes/s", p.Y.BytesPerS},
		{"control-max-bytes", "control sent at rest by the daemon that sends most", "bytes/s", p.Y.MaxBytesPerS},
		{"control-msgs", "messages sent at rest by a daemon, mean", "/s", p.Y.MsgsPerS},
		{"control-cpu", "processor time at rest of a daemon's reducers", "us/s", p.Y.CPUMicrosPerS},
		{"control-state", "memory of a daemon's membership and load", "bytes", p.Y.StateBytes},
	}
	var out []slope.Series
	for _, c := range list {
		out = append(out, slope.Series{
			Name: c.name + "/" + p.Name, Title: c.title, Unit: c.unit, X: label,
			Points:  []slope.Point{{X: x, Y: c.y}},
			Command: fleetPointsCommand, Cores: p.Cores, Date: p.Date,
		})
	}
	return out
}

// varied returns the size that a point varies, and its label. The point
// "letter" is the fleet of the planned sizes.
func (p *fleetPoint) varied() (x float64, label string) {
	switch p.Name {
	case "letter":
		return p.X.Members, fmt.Sprintf("members in each of %.0f domains", p.X.Domains)
	case "domains":
		return p.X.Domains, "domains"
	case "regions":
		return p.X.Regions, "regions"
	default:
		return p.X.Members, "members of a domain"
	}
}
