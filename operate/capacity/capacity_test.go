package capacity

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/steer/slope"
)

// docs is the directory of the published page and series.
const docs = "../../docs"

// The page has the tables between these lines.
const (
	beginMark = "<!-- azurethread capacity: begin -->\n"
	endMark   = "<!-- azurethread capacity: end -->\n"
)

func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	c := Command()
	c.SetArgs(args)
	c.SetOut(&out)
	c.SetErr(&out)
	err := c.Execute()
	return out.String(), err
}

// To update the page, replace the text between the marks by the command's
// output.
func TestPageIsTheCommandsOutput(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(filepath.Join(docs, "CAPACITY.md"))
	is.NoErr(err)
	_, rest, found := strings.Cut(string(page), beginMark)
	is.True(found)
	tables, _, found := strings.Cut(rest, endMark)
	is.True(found)
	want, err := run(t)
	is.NoErr(err)
	if tables != want {
		t.Errorf("docs/CAPACITY.md differs from `azurethread capacity`:\n%s", firstDifference(tables, want))
	}
}

func firstDifference(got, want string) string {
	a, b := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return "page:    " + a[i] + "\ncommand: " + b[i]
		}
	}
	return "one is longer"
}

func TestEmbeddedSeriesMatchPublishedOnes(t *testing.T) {
	is := is.New(t)
	is.Equal(filesOf(is, "data", ".json"), filesOf(is, filepath.Join(docs, "capacity"), ".json"))
}

func TestPublishedPlotsMatchSeries(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	_, err := run(t, "--plots", folder)
	is.NoErr(err)
	want := filesOf(is, folder, ".svg")
	is.True(len(want) >= 2)
	is.Equal(filesOf(is, filepath.Join(docs, "capacity"), ".svg"), want)
}

// filesOf returns the content of the files in a folder by name.
func filesOf(is *is.I, folder, suffix string) map[string]string {
	names, err := filepath.Glob(filepath.Join(folder, "*"+suffix))
	is.NoErr(err)
	out := make(map[string]string)
	for _, name := range names {
		text, err := os.ReadFile(name)
		is.NoErr(err)
		out[filepath.Base(name)] = string(text)
	}
	return out
}

func line(name string, f func(float64) float64, xs ...float64) slope.Series {
	s := slope.Series{Name: name, Unit: "ns", X: "blocks"}
	for _, x := range xs {
		s.Points = append(s.Points, slope.Point{X: x, Y: f(x)})
	}
	return s
}

func TestFit(t *testing.T) {
	is := is.New(t)
	f, ok := newFit(line("table/blocks", func(x float64) float64 { return 100 + 8*x }, 10, 20, 40, 80))
	is.True(ok)
	is.True(math.Abs(f.at(1000)-8100) < 1e-6)
	is.True(f.residual < 1e-9)
	is.True(f.covers(80) && !f.covers(81) && !f.covers(9))

	f, ok = newFit(line("lookup/blocks", func(x float64) float64 { return 50 + 10*math.Log2(x) }, 2, 4, 8, 16))
	is.True(ok)
	is.True(math.Abs(f.at(1024)-150) < 1e-6)

	f, ok = newFit(line("bent", func(x float64) float64 { return x * x }, 1, 2, 3, 4))
	is.True(ok)
	is.True(f.residual > 0.2) // a curve shows as residual

	_, ok = newFit(line("short", func(x float64) float64 { return x }, 1, 2, 3))
	is.True(!ok)
}

// A series with a zero value has no power law. It has figures at its measured
// sizes only.
func TestFitOfPowerSeries(t *testing.T) {
	is := is.New(t)
	grows := line("sweep-bytes/vms", func(x float64) float64 { return 3 * math.Pow(x, 1.2) }, 30, 99, 301)
	f, ok := newFit(grows)
	is.True(ok)
	is.True(math.Abs(f.at(3325)/(3*math.Pow(3325, 1.2))-1) < 1e-9)
	is.True(f.residual < 1e-9)
	is.Equal(f.String(), "3 * x^1.20 ns")

	zero := line("sweep-after-loss/vms", func(x float64) float64 { return math.Max(0, x-30) }, 30, 99, 301)
	_, ok = newFit(zero)
	is.True(!ok)
	m := newModel(PlannedSizes, []slope.Series{grows, zero})
	is.Equal(m.at("sweep-after-loss/vms", 301), figure{271, measured})
	is.Equal(m.at("sweep-after-loss/vms", 3325).basis, notMeasured)
	is.Equal(m.at("sweep-bytes/vms", 3325).basis, extrapolated)
}

func TestBasis(t *testing.T) {
	is := is.New(t)
	m := newModel(PlannedSizes, []slope.Series{
		line("table/blocks", func(x float64) float64 { return 8 * x }, 1, 2, 4, 8),
		line("resident/once", func(x float64) float64 { return 9 * x }, 8),
	})
	is.Equal(m.at("table/blocks", 4), figure{32, measured})
	is.Equal(m.at("table/blocks", 5).basis, fitted)
	is.Equal(m.at("table/blocks", 9).basis, extrapolated)
	is.Equal(m.at("absent", 1).basis, notMeasured)
	is.Equal(m.atSinglePoint("resident/once", 8), figure{72, measured})
	is.Equal(m.atSinglePoint("resident/once", 16), figure{144, extrapolated})
	is.Equal(arithmetic(2).times(m.at("table/blocks", 9)).basis, extrapolated)
	is.Equal(m.at("table/blocks", 5).plus(m.at("absent", 5)).basis, notMeasured)
}

// The figure of a missing series must not be taken for zero: the page would show
// a large margin for something that was never measured.
func TestMissingSeriesHasNoFigure(t *testing.T) {
	is := is.New(t)
	r := row{quantity: "x", figure: newModel(PlannedSizes, nil).at("absent", 1), unit: unitBytes, bound: 5}
	is.Equal(r.figureText(), "-")
	is.Equal(marginText(r), "-")
	over := row{figure: arithmetic(10), unit: unitBytes, bound: 5}
	is.True(strings.Contains(marginText(over), "over"))
}

func TestControlCostFollowsSlopes(t *testing.T) {
	is := is.New(t)
	series := []slope.Series{
		line("control-bytes/letter", func(float64) float64 { return 1000 }, 43),
		line("control-bytes/members", func(x float64) float64 { return 500 + 10*x }, 4, 8, 16, 43),
		line("control-bytes/domains", func(x float64) float64 { return 500 + x }, 6, 12, 40, 77),
		line("control-bytes/regions", func(x float64) float64 { return 500 + x }, 2, 5, 11, 22),
	}
	f := newModel(PlannedSizes, series).controlCost("control-bytes")
	is.Equal(f, figure{1000, measured})
	twice := PlannedSizes
	twice.Daemons *= 2
	f = newModel(twice, series).controlCost("control-bytes")
	is.Equal(f.basis, extrapolated)
	is.True(math.Abs(f.value-(1000+10*(6600.0/77-43))) < 1e-6)
}

func TestCommandRefusesBadInput(t *testing.T) {
	file := filepath.Join(t.TempDir(), "a.json")
	write := func(is *is.I, text string) { is.NoErr(os.WriteFile(file, []byte(text), 0o600)) }
	cases := map[string]struct {
		args []string
		text string
		want string
	}{
		"zero":          {[]string{"--blocks", "0"}, "", "--blocks must be above 0"},
		"few daemons":   {[]string{"--daemons", "10"}, "", "--domains must not exceed"},
		"no file":       {[]string{"--slopes", file + "x"}, "", "no such file"},
		"no JSON":       {[]string{"--slopes", file}, "{", "unexpected end"},
		"no points":     {[]string{"--slopes", file}, `{"series":[{"name":"a"}]}`, "no points"},
		"twice":         {[]string{"--slopes", file + "," + file}, `{"series":[{"name":"a","points":[{"x":1,"y":1}]}]}`, `duplicate series "a"`},
		"word as point": {[]string{"--slopes", file}, `[{"name":1}]`, "fleet points"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			write(is, c.text)
			_, err := run(t, c.args...)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}
