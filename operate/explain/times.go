package explain

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Times is where the time of answered requests went, by group.
type Times struct {
	By   string    `json:"by"`
	Rows []TimesOf `json:"rows"`
	All  TimesOf   `json:"all"`
	From time.Time `json:"from"` // of the first line
	To   time.Time `json:"to"`   // of the last line
}

// TimesOf is the times of one group of answered requests. All times are in ms, the
// parts are means over all requests of the group, and add up to Mean.
type TimesOf struct {
	Group    string `json:"group"`
	Requests int    `json:"requests"`
	Resent   int    `json:"resent"` // sent more than once

	Mean float64 `json:"mean_ms"`
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`

	Search     float64 `json:"search_ms"`     // until the first send: the search for a target with room
	Earlier    float64 `json:"earlier_ms"`    // from the first send to the answered one
	Connection float64 `json:"connection_ms"` // wait for a connection at the entry VM
	Gateway    float64 `json:"gateway_ms"`    // wait for a connection at the gateway
	Target     float64 `json:"target_ms"`     // the way, the target's queue and its work
	Rest       float64 `json:"rest_ms"`       // after the answer

	totals []float64
}

// Grouping is a property by which requests are grouped.
type Grouping string

// The groupings.
const (
	BySide   Grouping = "side"   // whether the target is in the entry VM's region
	ByDomain Grouping = "domain" // the target's failure domain
	ByVM     Grouping = "vm"     // the entry VM
	BySecond Grouping = "second" // the second in which the request ended
	ByHost   Grouping = "host"   // the host that the request names
)

// Groupings returns all groupings.
func Groupings() []Grouping { return []Grouping{BySide, ByDomain, ByVM, BySecond, ByHost} }

// Errors of ReadTimes.
var (
	ErrGrouping = errors.New("explain: unknown grouping")
	ErrNoTimes  = errors.New("explain: no line of an answered request")
)

// ReadTimes summarises the lines of answered requests. Entry VMs log a sample of
// these.
func ReadTimes(by Grouping, logs io.Reader) (*Times, error) {
	if !slices.Contains(Groupings(), by) {
		return nil, fmt.Errorf("%w %q; known: %v", ErrGrouping, by, Groupings())
	}
	all, err := parse(logs)
	if err != nil {
		return nil, err
	}
	t := &Times{By: string(by), All: TimesOf{Group: "all"}}
	groups := make(map[string]*TimesOf)
	for _, l := range all {
		if l.Event != "request" || stringOf(l.Fields["verdict"]) != "ran" {
			continue
		}
		last := answered(l)
		if last == nil {
			continue
		}
		name := groupOf(by, l, last)
		g, ok := groups[name]
		if !ok {
			g = &TimesOf{Group: name}
			groups[name] = g
		}
		g.add(l, last)
		t.All.add(l, last)
		if t.From.IsZero() || l.Time.Before(t.From) {
			t.From = l.Time
		}
		if l.Time.After(t.To) {
			t.To = l.Time
		}
	}
	if t.All.Requests == 0 {
		return nil, ErrNoTimes
	}
	for _, g := range groups {
		g.finish()
		t.Rows = append(t.Rows, *g)
	}
	t.All.finish()
	slices.SortFunc(t.Rows, func(a, b TimesOf) int { return cmp.Compare(a.Group, b.Group) })
	return t, nil
}

// answered returns the send that was answered, nil if there is none.
func answered(l Line) map[string]any {
	for _, s := range slices.Backward(sends(l)) {
		if o := stringOf(s["outcome"]); o == "served" || o == "server-error" {
			return s
		}
	}
	return nil
}

func groupOf(by Grouping, l Line, send map[string]any) string {
	switch by {
	case ByDomain:
		return stringOf(send["domain"])
	case ByVM:
		return l.VM
	case BySecond:
		return l.Time.UTC().Format("15:04:05")
	case ByHost:
		return stringOf(l.Fields["host"])
	default:
		if stringOf(send["gateway"]) != "" {
			return "other region"
		}
		return "own region"
	}
}

// add adds an answered request to g.
func (g *TimesOf) add(l Line, send map[string]any) {
	list := sends(l)
	first, after := msOf(list[0], "after_ms"), msOf(send, "after_ms")
	connection, gateway, took := msOf(send, "waited_ms"), msOf(send, "gateway_waited_ms"), msOf(send, "took_ms")
	total := msOf(l.Fields, "took_ms")
	g.Requests++
	if len(list) > 1 {
		g.Resent++
	}
	g.Search += first
	g.Earlier += after - first
	g.Connection += connection
	g.Gateway += gateway
	g.Target += took - connection - gateway
	g.Rest += total - after - took
	g.totals = append(g.totals, total)
}

// finish turns the sums of g into means and computes the quantiles.
func (g *TimesOf) finish() {
	n := float64(g.Requests)
	for _, part := range []*float64{&g.Search, &g.Earlier, &g.Connection, &g.Gateway, &g.Target, &g.Rest} {
		*part /= n
	}
	slices.Sort(g.totals)
	quantile := func(p float64) float64 { return stat.Quantile(p, stat.Empirical, g.totals, nil) }
	g.Mean, g.P50, g.P90, g.P99 = stat.Mean(g.totals, nil), quantile(0.5), quantile(0.9), quantile(0.99)
}

func msOf(fields map[string]any, name string) float64 {
	v, _ := fields[name].(float64)
	return v
}

// PrintTimes writes the times as a table.
func PrintTimes(w io.Writer, t *Times) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, strings.Join([]string{t.By, "requests", "resent", "mean", "p50", "p90", "p99", "search", "earlier", "connection", "gateway", "target", "rest", ""}, "\t"))
	for _, g := range append(slices.Clone(t.Rows), t.All) {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%.1f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", g.Group, g.Requests, g.Resent,
			g.Mean, g.P50, g.P90, g.P99, g.Search, g.Earlier, g.Connection, g.Gateway, g.Target, g.Rest)
	}
	_ = tw.Flush() // the writer of a command's output reports no error that could be handled
}
