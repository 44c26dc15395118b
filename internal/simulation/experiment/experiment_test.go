package experiment

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"testing"

	"barleywick/internal/simulation/emulator"
)

const smallPlan = `name = "walls"
scenarios = ["overload"]
seeds = [1, 2, 3, 4, 5, 6]
sidecars = 6
servers = 4
length = "6s"
[[variants]]
name = "as it is"
[[variants]]
name = "the same"
[[variants]]
name = "heavier"
[variants.set]
load = 6
`

func TestVariantsArePairedAndCompared(t *testing.T) {
	p, err := Parse([]byte(smallPlan), ".")
	if err != nil {
		t.Fatal(err)
	}
	calls := 0
	o, err := p.Run(context.Background(), func(completed, total int, _ Run) {
		calls++
		if completed != calls || total != 18 {
			t.Errorf("done reported %d of %d runs at its call %d", completed, total, calls)
		}
	})
	if err != nil || len(o.Runs) != 18 || o.Partial {
		t.Fatalf("got %d runs, error %v; want 18", len(o.Runs), err)
	}
	for _, d := range o.Differences {
		switch {
		case d.Pairs != 6:
			t.Errorf("%v: want 6 pairs", d)
		case d.Variant == "the same" && (d.Mean != 0 || d.Shown || !strings.Contains(d.String(), "no difference is shown")):
			t.Errorf("%v: want no difference between equal variants", d)
		case d.Variant == "heavier" && d.Measure == "goodput" && (!d.Shown || d.Mean >= 0):
			t.Errorf("%v: want lower goodput with more load", d)
		case d.Low > d.Mean || d.High < d.Mean:
			t.Errorf("%v: want a mean inside its interval", d)
		}
	}
	again, err := p.Run(context.Background(), nil)
	if err != nil {
		t.Fatal(err)
	}
	a, _ := json.Marshal(o)
	b, _ := json.Marshal(again)
	if string(a) != string(b) {
		t.Error("the same experiment gave a different outcome")
	}
}

func TestInterruptedExperimentKeepsItsRuns(t *testing.T) {
	p, err := Parse([]byte(smallPlan), ".")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	o, err := p.Run(ctx, func(completed, _ int, _ Run) {
		if completed == 2 {
			cancel()
		}
	})
	if err != nil || !o.Partial || len(o.Runs) < 2 || len(o.Runs) == 18 {
		t.Fatalf("got %d runs, partial %v, error %v; want a partial outcome with at least 2 runs", len(o.Runs), o.Partial, err)
	}
	for _, r := range o.Runs {
		if r.Record.Partial {
			t.Error("the outcome contains an interrupted run")
		}
	}
}

func TestExperimentFileIsReadStrictly(t *testing.T) {
	for from, c := range map[string][2]string{
		`seeds = [1, 2, 3, 4, 5, 6]`: {`seeds = [1, 1]`, "seeds: 1 is given twice"},
		`"overload"`:                 {`"underload"`, `there is no scenario "underload"`},
		`load = 6`:                   {`laod = 6`, "there is no field laod"},
		"load = 6\n":                 {"load = -7\n", "load is -7"},
		`"the same"`:                 {`"as it is"`, "variants[1]: want a unique name"},
		`length = "6s"`:              {`length = 6`, "length"},
		`sidecars = 6`:               {`sidecars = 0`, "sidecars is 0"},
		`name = "walls"`:             {`title = "walls"`, "line 1: there is no field title"},
		`["overload"]`:               {`["nowhere.toml"]`, "nowhere.toml"},
	} {
		_, err := Parse([]byte(strings.Replace(smallPlan, from, c[0], 1)), ".")
		if err == nil || !strings.Contains(err.Error(), c[1]) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want one line with %q", c[0], err, c[1])
		}
	}
}

// The 95 % interval covers the true mean about that often, and with too few pairs the verdict says so.
func TestIntervalCoversTheMean(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	covered, shown := 0, 0
	const tries, trueMean = 200, 0.1
	for range tries {
		d := make([]float64, 20)
		for i := range d {
			d[i] = trueMean + 0.2*rng.NormFloat64()
		}
		got := difference("s", "v", "m", d)
		if got.Low <= trueMean && trueMean <= got.High {
			covered++
		}
		if got.Shown {
			shown++
		}
	}
	if covered < tries*85/100 || covered == tries {
		t.Errorf("the 95 %% interval covered the true mean %d times in %d", covered, tries)
	}
	if shown == 0 || shown == tries {
		t.Errorf("got a difference from 0 %d times in %d, want some but not all", shown, tries)
	}
	if d := difference("s", "v", "m", []float64{1, 1, 1}); d.Shown || !strings.Contains(d.Verdict(), "too few") {
		t.Errorf("three pairs: got %v, want too few pairs", d)
	}
	if d := difference("s", "v", "m", nil); d.Shown || d.Pairs != 0 {
		t.Errorf("no pairs: got %v, want no difference", d)
	}
}

func TestVariantSettingsChangeNothingElse(t *testing.T) {
	sc, err := emulator.Preset("calm", 5, 4)
	if err != nil {
		t.Fatal(err)
	}
	changed, err := Variant{Set: map[string]any{"list": map[string]any{"per_ms": 2.5}}}.apply(sc)
	if err != nil || changed.List.PerMS != 2.5 || changed.List.PerCall != sc.List.PerCall || sc.List.PerMS == 2.5 || len(changed.Classes) != len(sc.Classes) {
		t.Errorf("got scenario %+v, error %v; want only list.per_ms changed", changed, err)
	}
}
