package capacity

import (
	"bufio"
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"github.com/azurethread/azurethread/decide/steer/slope"
)

// Files whose names end in .txt are the output of Go benchmarks of
// decide/config, after a line "date: YYYY-MM-DD". Each metric of a benchmark
// becomes a point of the series "<metric>/<what the benchmark varies>".

const configCommand = `(echo "date: $(date -u +%F)"; go test -run NONE -cpu 1 -benchtime 1x -timeout 60m -bench 'OneDomain|Fleet|EveryDaemonWatches' ./decide/config; go test -run NONE -cpu 1 -bench Step ./decide/config) > docs/capacity/config.txt`

// metric is what a unit of a benchmark stands for.
type metric struct {
	name, title, unit string
}

var metrics = map[string]metric{
	"rest-msg/s/daemon":  {"config-rest-msgs", "configuration messages sent at rest by a daemon", "/s"},
	"rest-B/s/daemon":    {"config-rest-bytes", "configuration sent at rest by a daemon, as JSON", "bytes/s"},
	"rest-B/s/max":       {"config-rest-max-bytes", "the same, the daemon that sends most", "bytes/s"},
	"rest-calls/s":       {"config-rest-calls", "calls to the platform at rest, all daemons", "/s"},
	"B/change/daemon":    {"config-change-bytes", "sent for one change by a daemon, as JSON", "bytes"},
	"B/change/max":       {"config-change-max-bytes", "the same, the daemon that sends most", "bytes"},
	"calls/change-in-3s": {"config-change-calls", "calls to the platform in the 3 s of a change, all daemons", "calls"},
	"ms-last-in-force":   {"config-in-force", "a change in force at the last daemon, in fake time", "ms"},
	"burst-B/s/daemon":   {"config-burst-bytes", "configuration sent in a burst by a daemon, as JSON", "bytes/s"},
	"burst-B/s/max":      {"config-burst-max-bytes", "the same, the daemon that sends most", "bytes/s"},
	"burst-calls/s":      {"config-burst-calls", "calls to the platform in a burst, all daemons", "/s"},
}

// stepPrefix begins the benchmarks of one event.
const stepPrefix = "BenchmarkStep/"

// benchSeries reads the output of benchmarks.
func benchSeries(text []byte) ([]slope.Series, error) {
	var all []slope.Series
	date := ""
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		if d, ok := strings.CutPrefix(lines.Text(), "date: "); ok {
			date = d
			continue
		}
		found, err := benchLine(strings.Fields(lines.Text()))
		if err != nil {
			return nil, err
		}
		for _, s := range found {
			s.Command, s.Cores, s.Date = configCommand, 1, date
			all = appendPoints(all, s)
		}
	}
	return all, lines.Err()
}

// benchLine reads one line of results: a name, the number of runs, and pairs
// of value and unit. Other lines give nothing.
func benchLine(fields []string) ([]slope.Series, error) {
	if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
		return nil, nil
	}
	varied, x, label := variedBy(fields[0])
	var out []slope.Series
	for i := 2; i+1 < len(fields); i += 2 {
		y, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", fields[0], err)
		}
		m, ok := metrics[fields[i+1]]
		if kind, step := strings.CutPrefix(fields[0], stepPrefix); step && fields[i+1] == "ns/op" {
			m, ok = metric{"config-step-" + kind, "one " + kind + " handled by the configuration's reducer", "ns"}, true
		}
		if ok && varied != "" {
			out = append(out, slope.Series{
				Name: m.name + "/" + varied, Title: m.title, Unit: m.unit, X: label,
				Points: []slope.Point{{X: x, Y: y}},
			})
		}
	}
	return out, nil
}

// variedBy returns what a benchmark varies and its value there; it returns ""
// for those that the page has no use for.
func variedBy(name string) (varied string, x float64, label string) {
	group, arg, _ := strings.Cut(name, "/")
	switch n, err := strconv.ParseFloat(arg, 64); {
	case strings.HasPrefix(name, stepPrefix):
		return "once", 1, "event"
	case arg == fmt.Sprintf("%dx%d", letterDomains, letterMembers):
		return "letter", letterMembers, "members of a domain"
	case err != nil:
		return "", 0, ""
	case group == "BenchmarkOneDomain":
		return "members", n, "members of a domain"
	case group == "BenchmarkEveryDaemonWatches":
		return "baseline", n, "daemons that all watch"
	default:
		return "", 0, ""
	}
}

// appendPoints adds the points of s to the series of its name.
func appendPoints(all []slope.Series, s slope.Series) []slope.Series {
	for i := range all {
		if all[i].Name == s.Name {
			all[i].Points = append(all[i].Points, s.Points...)
			return all
		}
	}
	return append(all, s)
}
