package render

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/operate/client"
	"github.com/azurethread/azurethread/serve/admin"
)

// JSON prints v as one line of JSON.
func JSON(w io.Writer, v any) error { return json.NewEncoder(w).Encode(v) }

// NewTable returns a table without borders, so that its output is also readable
// in a pipe.
func NewTable(w io.Writer, header ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	style := table.StyleDefault
	style.Options = table.OptionsNoBordersAndSeparators
	style.Box.PaddingLeft = ""
	style.Box.PaddingRight = "  "
	t.SetStyle(style)
	if len(header) > 0 {
		t.AppendHeader(header)
	}
	return t
}

// Percent formats a share as a percentage.
func Percent(s catalogue.Share) string {
	return fmt.Sprintf("%.2f%%", float64(s)*100/catalogue.ShareUnit)
}

// orAll returns "all" for an empty name, which is its meaning in the service
// and the receiving region of a shift.
func orAll[T ~string](s T) string {
	if s == "" {
		return "all"
	}
	return string(s)
}

func orDash[T ~string](s T) string {
	if s == "" {
		return "-"
	}
	return string(s)
}

func windowTime(t time.Time) string {
	if t.IsZero() {
		return "open"
	}
	return t.UTC().Format(time.RFC3339)
}

// Services prints a list of services.
func Services(w io.Writer, list []catalogue.Service) {
	t := NewTable(w, "service", "idempotent", "priority", "timeout", "token", "revision")
	for _, s := range list {
		priority := s.Priority
		if priority == "" {
			priority = catalogue.Deferrable
		}
		timeout := time.Duration(s.Timeout)
		if timeout == 0 {
			timeout = catalogue.DefaultTimeout
		}
		token := "needed"
		if s.Idempotent || s.TokenOptional {
			token = "optional"
		}
		t.AppendRow(table.Row{s.Name, s.Idempotent, priority, timeout, token, s.Revision})
	}
	t.Render()
}

// Shifts prints a list of traffic shifts.
func Shifts(w io.Writer, list []catalogue.Shift) {
	t := NewTable(w, "id", "state", "class", "owner", "service", "from", "to", "share", "cap", "hold", "revision")
	for _, s := range list {
		t.AppendRow(table.Row{
			s.ID, s.State, s.Class, s.Owner, orAll(s.Service), s.From, orAll(s.To),
			Percent(s.Share), Percent(s.Limits.MaxShare), orDash(s.Hold), s.Revision,
		})
	}
	t.Render()
}

// Shift prints all fields of a traffic shift. Limits that are not set are shown
// with their defaults.
func Shift(w io.Writer, s catalogue.Shift) {
	l := s.Limits.WithDefaults()
	t := NewTable(w)
	t.AppendRows([]table.Row{
		{"id", s.ID},
		{"state", s.State},
		{"hold", orDash(s.Hold)},
		{"class", s.Class},
		{"owner", s.Owner},
		{"author", s.Author},
		{"approved by", orDash(s.ApprovedBy)},
		{"service", orAll(s.Service)},
		{"from", s.From},
		{"to", orAll(s.To)},
		{"share", Percent(s.Share)},
		{"max_share", Percent(l.MaxShare)},
		{"step", Percent(l.Step)},
		{"interval", time.Duration(l.Interval)},
		{"min_headroom", Percent(l.MinHeadroom)},
		{"max_error_share", Percent(l.MaxErrorShare)},
		{"max_p99", time.Duration(l.MaxP99)},
		{"window", windowTime(l.Window.Start) + " to " + windowTime(l.Window.End)},
		{"revision", s.Revision},
	})
	t.Render()
}

// Status prints the state of the system as seen by one entry VM.
func Status(w io.Writer, s admin.Status) {
	t := NewTable(w)
	t.AppendRows([]table.Row{
		{"entry VM", fmt.Sprintf("%s (%s, %s)", s.VM, s.Region, s.Domain)},
		{"revision", fmt.Sprintf("%d, confirmed %s ago", s.Revision, time.Duration(s.RevisionAge).Round(time.Millisecond))},
		{"platform", choose(s.PlatformReachable, "reachable", "NOT REACHABLE")},
		{"cut off", choose(s.CutOff, "YES: no newer revision can arrive, shifts stand still", "no")},
		{"stopping", choose(s.Stopping, "YES", "no")},
		{"entry VMs", memberCounts(s.Members)},
		{"invariant violations", s.InvariantViolations},
	})
	t.Render()
	printLoads(w, s.Loads)
	printShiftStatus(w, s.Shifts)
}

func choose(b bool, yes, no string) string {
	if b {
		return yes
	}
	return no
}

func memberCounts(list []admin.Member) string {
	counts := map[string]int{}
	for _, m := range list {
		counts[m.State]++
	}
	var parts []string
	for _, st := range []fleet.State{fleet.Live, fleet.Leaving, fleet.Dead} {
		parts = append(parts, fmt.Sprintf("%d %s", counts[st.String()], st))
	}
	return strings.Join(parts, ", ")
}

func printLoads(w io.Writer, list []admin.Load) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintln(w)
	t := NewTable(w, "region", "service", "in flight", "capacity", "headroom", "age")
	for _, l := range list {
		t.AppendRow(table.Row{
			l.Region, l.Service, fmt.Sprintf("%.1f", l.InFlight), fmt.Sprintf("%.0f", l.Capacity),
			Percent(l.Headroom), time.Duration(l.Age).Round(time.Millisecond),
		})
	}
	t.Render()
}

func printShiftStatus(w io.Writer, list []admin.ShiftStatus) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintln(w)
	t := NewTable(w, "shift", "state", "service", "from", "to", "share", "moved", "cap", "hold")
	for _, s := range list {
		t.AppendRow(table.Row{
			s.ID, s.State, orAll(s.Service), s.From, orAll(s.To),
			Percent(s.Share), Percent(s.Moved), Percent(s.MaxShare), orDash(s.Hold),
		})
	}
	t.Render()
}

// Lookup prints the result of a look-up.
func Lookup(w io.Writer, l client.Lookup) {
	fmt.Fprintf(w, "home %s, steered to %s, shift %s, keep for %s\n",
		orDash(l.Home), orDash(l.Region), orDash(l.Shift), time.Duration(l.TTLMs)*time.Millisecond)
	t := NewTable(w, "order", "entry VM", "address", "region", "domain")
	for i, v := range l.EntryVMs {
		t.AppendRow(table.Row{i + 1, v.ID, v.Addr, v.Region, v.Domain})
	}
	t.Render()
}
