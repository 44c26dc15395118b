package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func placementOf(members ...string) *placement {
	p := &placement{settleTime: 10 * time.Second}
	p.update(members, 0)
	return p
}

// Tasks are placed evenly. If a member leaves, its tasks move to their standbys, and no others move.
func TestPlacement(t *testing.T) {
	members := []string{"k0", "k1", "k2", "k3", "k4"}
	remaining := slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == "k2" })
	counts := make(map[string]int)
	for i := range 200 {
		task := fmt.Sprint("task-", i)
		before, after := placementOf(members...).rank(task), placementOf(remaining...).rank(task)
		counts[before[0]]++
		if before[0] != "k2" && after[0] != before[0] {
			t.Errorf("%s: moved from %s to %s when k2 left, want no move", task, before[0], after[0])
		}
		if before[0] == "k2" && after[0] != before[1] {
			t.Errorf("%s: moved from k2 to %s, want to the standby %s", task, after[0], before[1])
		}
		claims := 0
		for _, m := range members {
			if placementOf(members...).shouldClaim(task, m) {
				claims++
			}
		}
		if claims != 1+standbys {
			t.Errorf("%s: got %d members that should claim it, want %d", task, claims, 1+standbys)
		}
	}
	for _, m := range members {
		if counts[m] < 20 || counts[m] > 60 {
			t.Errorf("%s: got %d of 200 tasks, want 20 to 60", m, counts[m])
		}
	}
}

// A member that joins and leaves repeatedly is handed no task until it has been present for the settle time.
func TestHandOverTarget(t *testing.T) {
	p := placementOf("k0", "k1")
	const task = "task-0"
	first, second := p.rank(task)[0], p.rank(task)[1]
	for now := time.Duration(0); now < time.Minute; now += time.Second {
		present := []string{second}
		if int(now/time.Second)%8 != 0 {
			present = append(present, first)
		}
		p.update(present, now)
		if target, ok := p.handOverTarget(task, second, []string{first}, now); ok {
			t.Fatalf("after %v: got target %s, want none", now, target)
		}
	}
	p.update([]string{first, second}, time.Minute)
	p.update([]string{first, second}, 2*time.Minute)
	if target, ok := p.handOverTarget(task, second, []string{first}, 2*time.Minute); !ok || target != first {
		t.Errorf("settled: got target %q, %v, want %s", target, ok, first)
	}
	if target, ok := p.handOverTarget(task, second, nil, 2*time.Minute); ok {
		t.Errorf("preferred member not queued: got target %s, want none", target)
	}
	if target, ok := p.handOverTarget(task, first, []string{second}, 2*time.Minute); ok {
		t.Errorf("preferred member is the holder: got target %s, want none", target)
	}
}
