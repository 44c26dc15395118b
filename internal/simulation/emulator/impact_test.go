package emulator

import (
	"context"
	"testing"
	"time"
)

// The impacts of the seconds add up to those of the run.
func TestImpactWindowsSumToRunTotals(t *testing.T) {
	for _, name := range []string{"surge", "zone", "blind"} {
		r := runScenario(t, presetScenario(t, name, 40, 12), 1, NewBalancer)
		h := r.Impact()
		if h.Sends != r.Sends || h.Probes != r.Probes || h.Handshakes != r.Handshakes || h.Rejected != r.Rejected || h.ListCalls != r.ListCalls || h.ListFailed != r.ListFailed {
			t.Errorf("%s: by second %+v, over the run %d attempts, %d probes, %d handshakes, %d rejected, %d of %d calls failed", name, h, r.Sends, r.Probes, r.Handshakes, r.Rejected, r.ListFailed, r.ListCalls)
		}
		if d := h.WastedWork - r.wasted; d > 1e-6 || d < -1e-6 || h.TotalRetries() == 0 || h.Sends == 0 {
			t.Errorf("%s: %+v, %v core seconds were wasted", name, h, r.wasted)
		}
		if name == "blind" && h.ListFailed == 0 {
			t.Error("the list was down and no call failed")
		}
	}
}

func TestRecoveryTime(t *testing.T) {
	r := &Record{}
	for _, share := range []float64{1, 1, 0.2, 0.3, 0.96, 0.9, 0.95, 0.99, 1, 1} {
		r.Windows = append(r.Windows, Window{WeightShare: WeightShare{Requested: 100, Served: 100 * share}})
	}
	if got, ok := r.RecoveryTime(2 * time.Second); !ok || got != 4*time.Second {
		t.Errorf("recovered after %v, %v; want 4 s", got, ok)
	}
	if _, ok := r.RecoveryTime(8 * time.Second); ok {
		t.Error("two seconds are not three")
	}
}

// The runs of a search follow from their seeds alone, keep the rules, and differ.
func TestSearch(t *testing.T) {
	kinds := make(map[string]bool)
	for seed := range uint64(6) {
		a, err := RunSearch(context.Background(), seed, 20, 8, NewBalancer)
		if err != nil {
			t.Fatal(err)
		}
		b, err := RunSearch(context.Background(), seed, 20, 8, NewBalancer)
		if err != nil || a.RecoveryTime != b.RecoveryTime || a.Goodput != b.Goodput || len(a.ViolationTexts) > 0 || a.RecoveryTime < 0 || a.Goodput <= 0.2 {
			t.Errorf("seed %d: %+v and %+v, %v", seed, a, b, err)
		}
		for _, x := range a.Faults {
			kinds[x.Name] = true
		}
	}
	if len(kinds) < 3 {
		t.Errorf("got only %v in six runs", kinds)
	}
	for seed := range uint64(500) {
		if _, over, err := SearchScenario(seed, 300, 200); err != nil || over < 10*time.Second {
			t.Errorf("seed %d: over at %v, %v", seed, over, err)
		}
	}
}

// An ideal policy breaks no rule, and an unknown one is refused.
func TestIdealPolicies(t *testing.T) {
	for _, oracle := range []string{idealLoad, idealAdmission} {
		sc := presetScenario(t, "surge", 40, 12)
		sc.IdealPolicy = oracle
		if r := runScenario(t, sc, 1, NewBalancer); len(r.ViolationTexts) > 0 || r.Goodput < 0.5 {
			t.Errorf("%s: %s", oracle, r.Line())
		}
	}
	sc := presetScenario(t, "surge", 40, 12)
	sc.IdealPolicy = "luck"
	if err := sc.Check(); err == nil {
		t.Error("an unknown ideal policy was accepted")
	}
}
