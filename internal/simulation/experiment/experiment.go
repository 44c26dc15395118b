// Package experiment runs scenarios with several variants on the same seeds and estimates the differences
// between the variants, with confidence intervals.
package experiment

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"
	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"

	"barleywick/internal/configfile"
	"barleywick/internal/simulation/emulator"
	"barleywick/internal/simulation/remoteadapter"
)

// Plan is the contents of an experiment file.
type Plan struct {
	Name      string            `toml:"name"`
	Scenarios []string          `toml:"scenarios"` // names of presets, or files ending in .toml
	Seeds     []uint64          `toml:"seeds"`
	Sidecars  int               `toml:"sidecars"` // fleet size for presets
	Servers   int               `toml:"servers"`
	Length    emulator.Duration `toml:"length"` // length of all scenarios; 0: unchanged
	Variants  []Variant         `toml:"variants"`

	scenarios []*emulator.Scenario
}

// Variant is one of the compared settings. All others are compared with the first variant.
type Variant struct {
	Name string         `toml:"name"`
	Set  map[string]any `toml:"set"` // changes to each scenario, with the keys of a scenario file
	// Adapter is the path of an adapter program of another build, which makes the decisions over the
	// simulator's wire protocol; empty: this build's decision module.
	Adapter string `toml:"adapter"`
}

const (
	maxSeeds    = 1000
	maxVariants = 16
	maxFileSize = 1 << 20 // bytes
)

// Load reads an experiment file. Paths in it are relative to its folder.
func Load(path string) (*Plan, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxFileSize))
	if err != nil {
		return nil, fmt.Errorf("experiment %s: %w", path, err)
	}
	p, err := Parse(text, filepath.Dir(path))
	if err != nil {
		return nil, fmt.Errorf("experiment %s: %w", path, err)
	}
	return p, nil
}

// Parse parses an experiment file's contents; paths in it are relative to folder.
func Parse(text []byte, folder string) (*Plan, error) {
	p := &Plan{Sidecars: emulator.DefaultScenario().Sidecars, Servers: emulator.DefaultScenario().Servers}
	if err := configfile.DecodeTOML(text, p); err != nil {
		return nil, err
	}
	if err := p.check(); err != nil {
		return nil, err
	}
	for i := range p.Variants {
		if v := &p.Variants[i]; v.Adapter != "" && !filepath.IsAbs(v.Adapter) {
			v.Adapter = filepath.Join(folder, v.Adapter)
		}
	}
	if err := p.loadScenarios(folder); err != nil {
		return nil, err
	}
	return p, nil
}

// check checks the plan without reading further files.
func (p *Plan) check() error {
	switch {
	case len(p.Scenarios) == 0:
		return errors.New("scenarios: none are given, want at least 1")
	case len(p.Seeds) == 0 || len(p.Seeds) > maxSeeds:
		return fmt.Errorf("seeds: %d are given, want 1 to %d", len(p.Seeds), maxSeeds)
	case len(p.Variants) < 2 || len(p.Variants) > maxVariants:
		return fmt.Errorf("variants: %d are given, want 2 to %d", len(p.Variants), maxVariants)
	case p.Length < 0:
		return errors.New("length must not be negative")
	}
	for i, seed := range p.Seeds {
		if slices.Contains(p.Seeds[:i], seed) {
			return fmt.Errorf("seeds: %d is given twice, want distinct seeds", seed)
		}
	}
	for i, v := range p.Variants {
		if v.Name == "" || slices.ContainsFunc(p.Variants[:i], func(o Variant) bool { return o.Name == v.Name }) {
			return fmt.Errorf("variants[%d]: want a unique name", i)
		}
	}
	return nil
}

// loadScenarios loads the scenarios and checks that each variant can be applied to each of them.
func (p *Plan) loadScenarios(folder string) error {
	for _, name := range p.Scenarios {
		sc, err := p.scenario(name, folder)
		if err != nil {
			return fmt.Errorf("scenarios: %s: %w", name, err)
		}
		p.scenarios = append(p.scenarios, sc)
		for _, v := range p.Variants {
			if _, err := v.apply(sc); err != nil {
				return fmt.Errorf("variants: %s: %w", v.Name, err)
			}
		}
	}
	return nil
}

func (p *Plan) scenario(name, folder string) (*emulator.Scenario, error) {
	var sc *emulator.Scenario
	var err error
	if filepath.Ext(name) == ".toml" {
		if !filepath.IsAbs(name) {
			name = filepath.Join(folder, name)
		}
		sc, err = emulator.LoadScenario(name)
	} else {
		sc, err = emulator.Preset(name, p.Sidecars, p.Servers)
	}
	if err != nil {
		return nil, err
	}
	if p.Length > 0 {
		sc.Stretch(time.Duration(p.Length))
	}
	return sc, sc.Check()
}

// apply returns a copy of a scenario with the variant's changes.
func (v Variant) apply(sc *emulator.Scenario) (*emulator.Scenario, error) {
	text, err := toml.Marshal(sc)
	if err != nil {
		return nil, err
	}
	changes, err := toml.Marshal(v.Set)
	if err != nil {
		return nil, err
	}
	changed, err := emulator.ReadScenario(bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	if err := configfile.DecodeTOML(changes, changed); err != nil {
		return nil, fmt.Errorf("set: %w", err)
	}
	return changed, changed.Check()
}

// Run is one run of a scenario with one variant.
type Run struct {
	Variant string           `json:"variant"`
	Record  *emulator.Record `json:"record"`
}

// Outcome is the result of an experiment.
type Outcome struct {
	Name        string       `json:"name"`
	Partial     bool         `json:"partial,omitempty"` // interrupted: only completed runs are included
	Runs        []Run        `json:"runs"`
	Differences []Difference `json:"differences"`
}

// Difference is the difference between a variant and the first one, on paired runs.
type Difference struct {
	Scenario string  `json:"scenario"` // "all" for all scenarios together
	Variant  string  `json:"variant"`
	Measure  string  `json:"measure"`
	Pairs    int     `json:"pairs"`
	Mean     float64 `json:"mean"` // mean of the variant's value less the first variant's
	Low      float64 `json:"low"`  // bounds of the 95 % bootstrap interval of the mean
	High     float64 `json:"high"`
	Shown    bool    `json:"shown"` // the interval excludes 0, with enough pairs
}

// Verdict returns the result of the comparison as text, for reports.
func (d Difference) Verdict() string {
	switch {
	case d.Pairs < minPairs:
		return fmt.Sprintf("too few pairs to say anything, %d are needed", minPairs)
	case d.Shown && d.Mean > 0:
		return "higher"
	case d.Shown:
		return "lower"
	}
	return "no difference is shown"
}

// String returns the difference in one line.
func (d Difference) String() string {
	return fmt.Sprintf("%-10s %-20s %-8s %+.4f  [%+.4f, %+.4f]  %d pairs: %s", d.Scenario, d.Variant, d.Measure, d.Mean, d.Low, d.High, d.Pairs, d.Verdict())
}

// measures are the values of a run by which variants are compared.
var measures = []struct {
	name  string
	value func(*emulator.Record) float64
}{
	{"goodput", func(r *emulator.Record) float64 { return r.Goodput }},
	{"result", func(r *emulator.Record) float64 { return r.Result }},
}

// Run runs all scenarios with all seeds and variants, several at a time, and calls done after each run.
// If ctx is done, the outcome contains the runs that were completed.
func (p *Plan) Run(ctx context.Context, done func(completed, total int, r Run)) (*Outcome, error) {
	type slot struct {
		run Run
		ok  bool
	}
	total := len(p.scenarios) * len(p.Seeds) * len(p.Variants)
	slots := make([]slot, total)
	var mu sync.Mutex
	completed := 0
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range total {
		v := p.Variants[i%len(p.Variants)]
		seed := p.Seeds[i/len(p.Variants)%len(p.Seeds)]
		sc := p.scenarios[i/len(p.Variants)/len(p.Seeds)]
		group.Go(func() error {
			if groupCtx.Err() != nil {
				return nil // interrupted
			}
			changed, err := v.apply(sc)
			if err != nil {
				return err
			}
			r, err := v.run(groupCtx, changed, seed)
			if groupCtx.Err() != nil {
				return nil
			}
			if err != nil {
				return fmt.Errorf("%s, %s, seed %d: %w", sc.Name, v.Name, seed, err)
			}
			mu.Lock()
			defer mu.Unlock()
			slots[i] = slot{Run{v.Name, r}, true}
			completed++
			if done != nil {
				done(completed, total, slots[i].run)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	o := &Outcome{Name: p.Name, Partial: completed < total}
	for _, s := range slots {
		if s.ok {
			o.Runs = append(o.Runs, s.run)
		}
	}
	o.Differences = p.compare(o.Runs)
	return o, nil
}

// run runs one scenario, with an adapter process if the variant has one.
func (v Variant) run(ctx context.Context, sc *emulator.Scenario, seed uint64) (*emulator.Record, error) {
	if v.Adapter != "" {
		a, err := remoteadapter.Start(ctx, v.Adapter)
		if err != nil {
			return nil, err
		}
		r, err := runScenario(ctx, sc, seed, a.NewDecider)
		if closeErr := a.Close(); closeErr != nil {
			return nil, closeErr // a run in which the adapter failed is invalid
		}
		return r, err
	}
	return runScenario(ctx, sc, seed, emulator.NewBalancer)
}

func runScenario(ctx context.Context, sc *emulator.Scenario, seed uint64, decide emulator.DeciderFactory) (*emulator.Record, error) {
	s, err := emulator.NewSim(sc, seed, decide)
	if err != nil {
		return nil, err
	}
	return s.Run(ctx)
}

// compare pairs the runs of each variant with those of the first variant, by scenario and seed.
func (p *Plan) compare(runs []Run) (differences []Difference) {
	type runKey struct {
		variant, scenario string
		seed              uint64
	}
	records := make(map[runKey]*emulator.Record, len(runs))
	for _, r := range runs {
		records[runKey{r.Variant, r.Record.Scenario, r.Record.Seed}] = r.Record
	}
	for _, v := range p.Variants[1:] {
		for _, m := range measures {
			var all []float64
			for _, sc := range p.scenarios {
				var scenarioDifferences []float64
				for _, seed := range p.Seeds {
					first, other := records[runKey{p.Variants[0].Name, sc.Name, seed}], records[runKey{v.Name, sc.Name, seed}]
					if first != nil && other != nil {
						scenarioDifferences = append(scenarioDifferences, m.value(other)-m.value(first))
					}
				}
				all = append(all, scenarioDifferences...)
				differences = append(differences, difference(sc.Name, v.Name, m.name, scenarioDifferences))
			}
			if len(p.scenarios) > 1 {
				differences = append(differences, difference("all", v.Name, m.name, all))
			}
		}
	}
	return differences
}

const (
	resamples  = 10_000
	confidence = 0.95
	// minPairs is the least number of pairs for a verdict: with fewer than five pairs, all differences have
	// the same sign by chance more often than one time in twenty.
	minPairs = 5
)

// difference returns the mean of paired differences with its bootstrap percentile interval. The resampling
// has a fixed seed, so that the same runs give the same interval.
func difference(scenario, variant, measure string, d []float64) Difference {
	out := Difference{Scenario: scenario, Variant: variant, Measure: measure, Pairs: len(d)}
	if len(d) == 0 {
		return out
	}
	out.Mean = stat.Mean(d, nil)
	rng := rand.New(rand.NewPCG(1, uint64(len(d))))
	means := make([]float64, resamples)
	sample := make([]float64, len(d))
	for i := range means {
		for j := range sample {
			sample[j] = d[rng.IntN(len(d))]
		}
		means[i] = stat.Mean(sample, nil)
	}
	slices.Sort(means)
	out.Low = stat.Quantile((1-confidence)/2, stat.Empirical, means, nil)
	out.High = stat.Quantile((1+confidence)/2, stat.Empirical, means, nil)
	out.Shown = len(d) >= minPairs && (out.Low > 0 || out.High < 0) && !math.IsNaN(out.Mean)
	return out
}
