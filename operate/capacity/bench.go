package capacity

import (
	"bufio"
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"github.com/azurethread/azurethread/decide/steer/slope"
)

// Files whose names end in .txt contain the output of Go benchmarks after the
// lines "date: YYYY-MM-DD" and "command: ...". Each metric of a benchmark
// becomes a point of the series "<metric>/<size that the benchmark varies>".

// metric describes the series for a unit of a benchmark.
type metric struct {
	name, title, unit string
}

var metricsByUnit = map[string]metric{
	"rest-msg/s/daemon":     {"config-rest-msgs", "configuration messages sent at rest by a daemon", "/s"},
	"rest-B/s/daemon":       {"config-rest-bytes", "configuration sent at rest by a daemon, as JSON", "bytes/s"},
	"rest-B/s/max":          {"config-rest-max-bytes", "the same, the daemon that sends most", "bytes/s"},
	"rest-calls/s":          {"config-rest-calls", "calls to the platform at rest, all daemons", "/s"},
	"B/change/daemon":       {"config-change-bytes", "sent for one change by a daemon, as JSON", "bytes"},
	"B/change/max":          {"config-change-max-bytes", "the same, the daemon that sends most", "bytes"},
	"calls/change-in-3s":    {"config-change-calls", "calls to the platform in the 3 s of a change, all daemons", "calls"},
	"ms-last-in-force":      {"config-in-force", "a change in force at the last daemon, in fake time", "ms"},
	"burst-B/s/daemon":      {"config-burst-bytes", "configuration sent in a burst by a daemon, as JSON", "bytes/s"},
	"burst-B/s/max":         {"config-burst-max-bytes", "the same, the daemon that sends most", "bytes/s"},
	"B/s/daemon":            {"spread-rest-bytes", "payload sent at rest by a real daemon on loopback, mean", "bytes/s"},
	"B/s-worst":             {"spread-rest-max-bytes", "the same, the daemon that sends most", "bytes/s"},
	"cpu-µs/s/daemon":       {"spread-rest-cpu", "processor time at rest of a real daemon, stand-ins and kernel included", "us/s"},
	"platform-calls/s":      {"spread-rest-calls", "calls to the platform at rest, all real daemons", "/s"},
	"platform-calls/change": {"spread-change-calls", "calls to the platform from one change to the next, all real daemons", "calls"},
	"in-force-p50-ms":       {"spread-in-force", "a change in force at the last real daemon, median of 20", "ms"},
	"in-force-max-ms":       {"spread-in-force-max", "the same, the slowest of 20", "ms"},
	"burst-calls/s":         {"config-burst-calls", "calls to the platform in a burst, all daemons", "/s"},
}

// The benchmarks whose metric is their duration.
const (
	stepGroup = "BenchmarkStep" // one event of the configuration's reducer
	planGroup = "BenchmarkPlan" // one evaluation of all shifts
)

// The other benchmarks, whose arguments are sizes.
const (
	domainGroup   = "BenchmarkOneDomain"          // daemons of one domain, in simulated time
	baselineGroup = "BenchmarkEveryDaemonWatches" // daemons that are each a domain
	spreadGroup   = "BenchmarkSpread"             // real daemons in six domains
)

// parseBenchmarks parses the output of benchmarks.
func parseBenchmarks(text []byte) ([]slope.Series, error) {
	var all []slope.Series
	date, command := "", ""
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		if d, ok := strings.CutPrefix(lines.Text(), "date: "); ok {
			date = d
			continue
		}
		if c, ok := strings.CutPrefix(lines.Text(), "command: "); ok {
			command = c
			continue
		}
		found, err := parseBenchmarkLine(strings.Fields(lines.Text()))
		if err != nil {
			return nil, err
		}
		for _, s := range found {
			s.Command, s.Date = command, date
			all = appendPoints(all, s)
		}
	}
	return all, lines.Err()
}

// parseBenchmarkLine parses a line of results: a name, the number of runs, and
// pairs of value and unit. It returns nothing for other lines.
func parseBenchmarkLine(fields []string) ([]slope.Series, error) {
	if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
		return nil, nil
	}
	name, cores := cutCores(fields[0])
	group, arg, _ := strings.Cut(name, "/")
	arg = strings.TrimPrefix(arg, "daemons=")
	varied, x, label := variedSize(group, arg)
	if varied == "" {
		return nil, nil
	}
	var out []slope.Series
	for i := 2; i+1 < len(fields); i += 2 {
		y, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", fields[0], err)
		}
		m, ok := metricOf(group, arg, fields[i+1])
		if ok && (varied != baseline || strings.HasSuffix(m.name, "-calls")) {
			out = append(out, slope.Series{
				Name: m.name + "/" + varied, Title: m.title, Unit: m.unit, X: label,
				Points: []slope.Point{{X: x, Y: y}}, Cores: cores,
			})
		}
	}
	return out, nil
}

// cutCores splits the number of cores from a benchmark's name. The name of a
// run on one core has no such suffix.
func cutCores(name string) (string, int) {
	i := strings.LastIndexByte(name, '-')
	if i < 0 {
		return name, 1
	}
	n, err := strconv.Atoi(name[i+1:])
	if err != nil {
		return name, 1
	}
	return name[:i], n
}

// baseline is a fleet without readers, in which every daemon watches the
// platform; only its calls are used.
const baseline = "baseline"

// metricOf returns the metric of a unit. A duration is a metric only of the
// benchmarks that measure it.
func metricOf(group, arg, unit string) (metric, bool) {
	const duration = "ns/op"
	switch {
	case unit == duration && group == stepGroup:
		return metric{"config-step-" + arg, "one " + arg + " handled by the configuration's reducer", "ns"}, true
	case unit == duration && group == planGroup:
		return metric{"plan", "all running shifts evaluated once, on new evidence", "ns"}, true
	default:
		m, ok := metricsByUnit[unit]
		return m, ok
	}
}

// variedSize returns the size that a benchmark varies and its value. It returns
// "" for benchmarks that the model does not use. "letter" stands for the fleet of
// the planned sizes.
func variedSize(group, arg string) (varied string, x float64, label string) {
	if group == stepGroup {
		return "once", 1, "event"
	}
	if arg == fmt.Sprintf("%dx%d", measuredDomains, measuredMembers) {
		return "letter", measuredMembers, fmt.Sprintf("members in each of %d domains", measuredDomains)
	}
	n, err := strconv.ParseFloat(arg, 64)
	if err != nil {
		return "", 0, ""
	}
	switch group {
	case domainGroup:
		return "members", n, "members of a domain"
	case baselineGroup:
		return baseline, n, "daemons that all watch"
	case planGroup:
		return "shifts", n, "running shifts"
	case spreadGroup:
		return "daemons", n, "daemons in 6 domains"
	default:
		return "", 0, ""
	}
}

// appendPoints adds the points of s to the series with its name.
func appendPoints(all []slope.Series, s slope.Series) []slope.Series {
	for i := range all {
		if all[i].Name == s.Name {
			all[i].Points = append(all[i].Points, s.Points...)
			return all
		}
	}
	return append(all, s)
}
