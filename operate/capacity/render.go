package capacity

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/azurethread/azurethread/decide/steer/slope"
)

// report writes all tables as Markdown.
func (m *model) report(w io.Writer) error {
	roles := m.roles()
	var b strings.Builder
	m.sizesTable(&b)
	for _, r := range roles {
		fmt.Fprintf(&b, "\n### %s\n\n%s\n\n", r.name, r.note)
		rowsTable(&b, r.rows)
	}
	smallestMarginsTable(&b, roles)
	m.fitsTable(&b)
	m.singlePointTable(&b)
	_, err := io.WriteString(w, b.String())
	if err != nil {
		return fmt.Errorf("capacity: write report: %w", err)
	}
	return nil
}

func renderTable(b *strings.Builder, t table.Writer) {
	b.WriteString(t.RenderMarkdown())
	b.WriteByte('\n')
}

func newTable(header ...any) table.Writer {
	t := table.NewWriter()
	t.AppendHeader(table.Row(header))
	return t
}

func (m *model) sizesTable(b *strings.Builder) {
	s := m.sizes
	b.WriteString("### Sizes\n\n")
	t := newTable("size", "value")
	t.AppendRows([]table.Row{
		{"entry VMs", s.Daemons},
		{"blocks of clients", s.Blocks},
		{"sites", s.Sites},
		{"look-ups a second", s.Lookups},
		{"regions", s.Regions},
		{"failure domains", s.Domains},
		{"changes a day", s.Changes},
		{"burst, in multiples of the mean rate", s.Burst},
		{"VM events a day", s.VMEvents},
		{"readers per failure domain", s.Readers},
		{"shifts running at once", s.Shifts},
		{"interval between steps of a shift", s.Step},
	})
	renderTable(b, t)
}

func rowsTable(b *strings.Builder, rows []row) {
	t := newTable("quantity", "figure", "bound", "margin", "basis", "carried by")
	for _, r := range rows {
		t.AppendRow(table.Row{r.quantity, r.figureText(), r.boundText(), marginText(r), string(r.figure.basis), r.mechanism})
	}
	renderTable(b, t)
}

func (r row) figureText() string {
	if r.figure.basis == notMeasured {
		return "-"
	}
	return r.format(r.figure.value)
}

func (r row) boundText() string {
	if r.bound == 0 {
		return "-"
	}
	return r.format(r.bound)
}

func marginText(r row) string {
	switch m := r.margin(); {
	case m == 0:
		return "-"
	case m < 1:
		return fmt.Sprintf("**%.2gx: over**", m)
	case m >= 1000:
		return "over 1000x"
	default:
		return countText(m) + "x"
	}
}

// smallestMarginRows is how many rows the table of the smallest margins shows.
const smallestMarginRows = 5

// smallestMarginsTable lists the rows with the smallest margins, which limit
// growth first.
func smallestMarginsTable(b *strings.Builder, roles []role) {
	type named struct {
		role string
		row  row
	}
	var all []named
	for _, r := range roles {
		for _, x := range r.rows {
			if x.margin() > 0 {
				all = append(all, named{r.name, x})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b named) int {
		switch ma, mb := a.row.margin(), b.row.margin(); {
		case ma < mb:
			return -1
		case ma > mb:
			return 1
		default:
			return 0
		}
	})
	b.WriteString("\n### Smallest margins\n\nWhat breaks first if everything grows alike.\n\n")
	t := newTable("role", "quantity", "figure", "bound", "margin", "basis")
	for _, n := range all[:min(smallestMarginRows, len(all))] {
		t.AppendRow(table.Row{n.role, n.row.quantity, n.row.figureText(), n.row.boundText(), marginText(n.row), string(n.row.figure.basis)})
	}
	renderTable(b, t)
}

// fitsTable lists the fits.
func (m *model) fitsTable(b *strings.Builder) {
	b.WriteString("\n### Measured slopes\n\nLeast squares of relative deviations, of logarithms for powers; the residual is the largest deviation of a point.\n\n")
	t := newTable("series", "measures", "range", "points", "line", "residual", "cores", "date")
	for _, name := range m.names() {
		f, ok := m.fits[name]
		if !ok {
			continue
		}
		least, most := f.sizeRange()
		t.AppendRow(table.Row{
			name, f.series.Title, fmt.Sprintf("%s to %s %s", countText(least), countText(most), f.series.X), len(f.series.Points),
			f.String(), fmt.Sprintf("%.0f%%", f.residual*100),
			orDash(f.series.Cores), orDash(f.series.Date),
		})
	}
	renderTable(b, t)
}

// singlePointTable lists the series without a fit, most of them measured at one
// size only.
func (m *model) singlePointTable(b *strings.Builder) {
	b.WriteString("\n### Measured at one size\n\n")
	t := newTable("series", "measures", "at", "value", "cores", "date")
	for _, name := range m.names() {
		if _, fitted := m.fits[name]; fitted {
			continue
		}
		s := m.series[name]
		for _, p := range s.Points {
			t.AppendRow(table.Row{name, s.Title, fmt.Sprintf("%s %s", countText(p.X), s.X), pointText(s, p.Y), orDash(s.Cores), orDash(s.Date)})
		}
	}
	renderTable(b, t)
	b.WriteString("\nCommands:\n\n")
	for _, c := range m.commands() {
		fmt.Fprintf(b, "- `%s`\n", c)
	}
}

// orDash returns a dash for a zero value, which means that a file does not
// state it.
func orDash[T comparable](v T) any {
	var unknown T
	if v == unknown {
		return "-"
	}
	return v
}

func pointText(s slope.Series, y float64) string {
	if s.Unit == "bytes" {
		return bytesText(y)
	}
	return fmt.Sprintf("%.4g %s", y, s.Unit)
}

// names returns the names of all series in order.
func (m *model) names() []string {
	var names []string
	for name := range m.series {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// commands returns the commands that measured the series, without duplicates.
func (m *model) commands() []string {
	var out []string
	for _, s := range m.series {
		out = append(out, s.Command)
	}
	slices.Sort(out)
	return slices.Compact(out)
}
