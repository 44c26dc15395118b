package emulator

import (
	"context"
	"testing"
	"time"
)

// The impacts of all seconds add up to the totals of the run.
func TestImpactWindowsSumToRunTotals(t *testing.T) {
	for _, name := range []string{"surge", "zone", "blind"} {
		r := runScenario(t, presetScenario(t, name, 40, 12), 1, NewBalancer)
		h := r.Impact()
		if h.Sends != r.Sends || h.Probes != r.Probes || h.Handshakes != r.Handshakes || h.Rejected != r.Rejected || h.ListCalls != r.ListCalls || h.ListFailed != r.ListFailed {
			t.Errorf("%s: sum over seconds %+v, want the totals of %d attempts, %d probes, %d handshakes, %d rejected, %d of %d polls failed", name, h, r.Sends, r.Probes, r.Handshakes, r.Rejected, r.ListFailed, r.ListCalls)
		}
		if d := h.WastedWork - r.wasted; d > 1e-6 || d < -1e-6 || h.TotalRetries() == 0 || h.Sends == 0 {
			t.Errorf("%s: sum over seconds %+v, want %v core seconds wasted, and some retries and sends", name, h, r.wasted)
		}
		if name == "blind" && h.ListFailed == 0 {
			t.Error("the discovery service was down, but no poll failed")
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
		t.Error("recovered after two good seconds, want no recovery")
	}
}

// The runs of a search depend only on their seeds, keep the rules, and have different faults.
func TestSearch(t *testing.T) {
	kinds := make(map[string]bool)
	for seed := range uint64(6) {
		a, err := RunSearch(context.Background(), seed, 20, 8, NewBalancer)
		if err != nil {
			t.Fatal(err)
		}
		b, err := RunSearch(context.Background(), seed, 20, 8, NewBalancer)
		if err != nil || a.RecoveryTime != b.RecoveryTime || a.Goodput != b.Goodput || len(a.ViolationTexts) > 0 || a.RecoveryTime < 0 || a.Goodput <= 0.2 {
			t.Errorf("seed %d: got %+v and %+v, error %v; want equal runs that keep the rules", seed, a, b, err)
		}
		for _, x := range a.Faults {
			kinds[x.Name] = true
		}
	}
	if len(kinds) < 3 {
		t.Errorf("got only the faults %v in six runs, want at least 3 kinds", kinds)
	}
	for seed := range uint64(500) {
		if _, faultsEnd, err := SearchScenario(seed, 300, 200); err != nil || faultsEnd < 10*time.Second {
			t.Errorf("seed %d: last fault ends at %v, error %v; want at least 10 s", seed, faultsEnd, err)
		}
	}
}

// Runs with an ideal policy keep the rules, and an unknown ideal policy is an error.
func TestIdealPolicies(t *testing.T) {
	for _, idealPolicy := range []string{idealLoad, idealAdmission} {
		sc := presetScenario(t, "surge", 40, 12)
		sc.IdealPolicy = idealPolicy
		if r := runScenario(t, sc, 1, NewBalancer); len(r.ViolationTexts) > 0 || r.Goodput < 0.5 {
			t.Errorf("ideal policy %s: want no violations and a goodput of at least 0.5, got %s", idealPolicy, r.Line())
		}
	}
	sc := presetScenario(t, "surge", 40, 12)
	sc.IdealPolicy = "luck"
	if err := sc.Check(); err == nil {
		t.Error("an unknown ideal policy was accepted")
	}
}
