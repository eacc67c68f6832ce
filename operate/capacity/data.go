package capacity

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"strings"

	"github.com/azurethread/azurethread/decide/steer/slope"
)

// embeddedFiles holds copies of the series in docs/capacity; a test compares
// them.
//
//go:embed data
var embeddedFiles embed.FS

// embeddedSeries returns the series that are built into the program.
func embeddedSeries() ([]slope.Series, error) {
	names, err := fs.Glob(embeddedFiles, "data/*")
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	var all []slope.Series
	for _, name := range names {
		text, err := embeddedFiles.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("capacity: %w", err)
		}
		if all, err = appendSeries(all, name, text); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// readSeries returns the series of the named files.
func readSeries(names []string) ([]slope.Series, error) {
	var all []slope.Series
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("capacity: %w", err)
		}
		if all, err = appendSeries(all, name, text); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// appendSeries decodes a file and appends its series. It rejects empty series,
// and series that are already present: one of the two would silently replace
// the other.
func appendSeries(all []slope.Series, name string, text []byte) ([]slope.Series, error) {
	series, err := decodeSeries(name, text)
	if err != nil {
		return nil, fmt.Errorf("capacity: %s: %w", name, err)
	}
	for _, s := range series {
		if s.Name == "" || len(s.Points) == 0 {
			return nil, fmt.Errorf("capacity: %s: series %q has no name or no points", name, s.Name)
		}
		if slices.ContainsFunc(all, func(o slope.Series) bool { return o.Name == s.Name }) {
			return nil, fmt.Errorf("capacity: %s: duplicate series %q", name, s.Name)
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b slope.Series) int { return strings.Compare(a.Name, b.Name) })
	return all, nil
}

// decodeSeries decodes a slope.File, a list of fleet points, or the output of
// benchmarks.
func decodeSeries(name string, text []byte) ([]slope.Series, error) {
	if strings.HasSuffix(name, ".txt") {
		return parseBenchmarks(text)
	}
	if bytes.HasPrefix(bytes.TrimSpace(text), []byte("[")) {
		return parseFleetPoints(text)
	}
	var f slope.File
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("series: %w", err)
	}
	return f.Series, nil
}
