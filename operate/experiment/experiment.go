package experiment

import (
	"errors"
	"fmt"
	"os"
	"sync"

	"github.com/azurethread/azurethread/decide/emulate"
	"github.com/azurethread/azurethread/decide/ingress"
)

// plan is a set of emulator runs: each pattern with each variant and seed.
type plan struct {
	patterns []*emulate.Pattern
	variants []variant
	seeds    int
}

// variant is a set of mechanisms that are switched off.
type variant struct {
	name    string
	without ingress.Mechanisms
}

// complete is the name of the variant with all mechanisms on, which comes
// first.
const complete = "complete"

// allMechanisms selects one variant for each mechanism.
const allMechanisms = "each"

var errSeeds = errors.New("experiment: --seeds must be at least 1")

// newPlan reads the files and checks the variants.
func newPlan(files, without []string, seeds int) (*plan, error) {
	if seeds < 1 {
		return nil, errSeeds
	}
	p := &plan{seeds: seeds, variants: []variant{{name: complete}}}
	for _, name := range without {
		names := []string{name}
		if name == allMechanisms {
			names = ingress.MechanismNames()
		}
		for _, n := range names {
			m, err := ingress.ParseMechanisms(n)
			if err != nil {
				return nil, err
			}
			p.variants = append(p.variants, variant{name: "without " + n, without: m})
		}
	}
	for _, file := range files {
		pattern, err := readPattern(file)
		if err != nil {
			return nil, err
		}
		p.patterns = append(p.patterns, pattern)
	}
	return p, nil
}

func readPattern(file string) (*emulate.Pattern, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	defer f.Close()
	p, err := emulate.Read(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return p, nil
}

// outcome holds the results of one pattern and variant, by seed.
type outcome struct {
	Pattern string            `json:"pattern"`
	Variant string            `json:"variant"`
	Plays   []*emulate.Result `json:"plays"`
}

// run makes all emulator runs, up to jobs at a time, and calls report after
// each.
func (p *plan) run(jobs int, report func(done, all int)) []*outcome {
	var outcomes []*outcome
	type emulatorRun struct {
		pattern *emulate.Pattern
		variant emulate.Variant
		result  **emulate.Result
	}
	var runs []emulatorRun
	for _, pattern := range p.patterns {
		for _, v := range p.variants {
			o := &outcome{Pattern: pattern.Name, Variant: v.name, Plays: make([]*emulate.Result, p.seeds)}
			outcomes = append(outcomes, o)
			for seed := range p.seeds {
				runs = append(runs, emulatorRun{
					pattern: pattern, result: &o.Plays[seed],
					variant: emulate.Variant{Seed: uint64(seed) + 1, Disabled: v.without},
				})
			}
		}
	}
	queue := make(chan emulatorRun)
	var workers sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for range max(jobs, 1) {
		workers.Go(func() {
			for x := range queue {
				*x.result = emulate.Run(x.pattern, x.variant)
				mu.Lock()
				done++
				report(done, len(runs))
				mu.Unlock()
			}
		})
	}
	for _, x := range runs {
		queue <- x
	}
	close(queue)
	workers.Wait()
	return outcomes
}

// column is one column of the table.
type column struct {
	title string
	value func(*emulate.Result) float64
}

var columns = []column{
	{"worth", func(r *emulate.Result) float64 { return r.All.Worth() }},
	{"worst windows", (*emulate.Result).WorstWindows},
	{"worst domain", (*emulate.Result).WorstDomain},
	{"worst kind", (*emulate.Result).WorstKind},
	{"refused", func(r *emulate.Result) float64 { return ratio(r.All.Refused, r.All.Asked) }},
	{"failed", func(r *emulate.Result) float64 { return ratio(r.All.Failed, r.All.Asked) }},
	{"came back", func(r *emulate.Result) float64 { return ratio(r.Returned, r.All.Asked) }},
}

func ratio(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

// meanAndSpread returns the mean of a column over the seeds, and the difference
// between its largest and smallest value.
func (o *outcome) meanAndSpread(c column) (mean, spread float64) {
	least, most := c.value(o.Plays[0]), c.value(o.Plays[0])
	for _, r := range o.Plays {
		v := c.value(r)
		mean += v / float64(len(o.Plays))
		least, most = min(least, v), max(most, v)
	}
	return mean, most - least
}
