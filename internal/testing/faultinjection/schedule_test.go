package faultinjection

import (
	"slices"
	"strings"
	"testing"
	"time"
)

func TestSchedule(t *testing.T) {
	p := Plan{
		Targets: []string{"r0", "r1", "r2", "k0", "k1"}, Count: 40, MeanInterval: time.Second, MinDuration: time.Second, MaxDuration: 5 * time.Second, MaxConcurrent: 3,
		QuorumGroup: []string{"r0", "r1", "r2"}, MaxQuorumFaults: 1,
	}
	s := p.Draw(7)
	if len(s) != 40 || !slices.Equal(s, p.Draw(7)) || slices.Equal(s, p.Draw(8)) {
		t.Errorf("got %d faults, want 40 that depend only on the seed", len(s))
	}
	for i, f := range s {
		concurrent := 0
		for _, g := range s[:i] {
			if strings.HasPrefix(g.Target, "r") && strings.HasPrefix(f.Target, "r") && g.Start+g.Duration > f.Start {
				concurrent++
			}
		}
		if concurrent > 0 {
			t.Errorf("%v starts while another replica has a fault, want one at a time", f)
		}
	}
	again, err := ParseSchedule(s.String())
	if err != nil || !slices.Equal(again, s) {
		t.Errorf("parsed again: got %v (error %v), want the same schedule", again, err)
	}
	for _, wrong := range []string{"1s cut k1", "1s melt k1 for 2s", "x cut k1 for 2s", "1s cut k1 for y"} {
		if _, err := ParseSchedule(wrong); err == nil {
			t.Errorf("%q was parsed, want an error", wrong)
		}
	}
	// The simulated failure needs two of the forty faults.
	calls := 0
	small := Shrink(s, 500, func(part Schedule) bool {
		calls++
		return slices.Contains(part, s[3]) && slices.Contains(part, s[29])
	})
	if len(small) != 2 || calls > 500 {
		t.Errorf("shrunk to %v with %d calls, want 2 faults with at most 500 calls", small, calls)
	}
	injector := &Injector{Network: NewNetwork(1)}
	if _, err := injector.Inject(Fault{Kind: Pause, Target: "nobody"}); err == nil {
		t.Error("a fault of an unknown process was injected")
	}
	if err := injector.Run(t.Context(), Schedule{{Kind: Partition, Target: "k1", Duration: time.Millisecond}}); err != nil || injector.Injected[Partition] != 1 {
		t.Errorf("got %v with %v injected, want one partition", err, injector.Injected)
	}
}
