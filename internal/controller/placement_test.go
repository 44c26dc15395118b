package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestSpread(t *testing.T) {
	at := func(members ...string) *placement {
		s := &placement{settle: 10 * time.Second}
		s.update(members, 0)
		return s
	}
	five := []string{"k0", "k1", "k2", "k3", "k4"}
	owners := make(map[string]string)
	counts := make(map[string]int)
	for i := range 200 {
		task := fmt.Sprint("task-", i)
		owners[task] = at(five...).rank(task)[0]
		counts[owners[task]]++
	}
	for _, m := range five {
		if counts[m] < 20 || counts[m] > 60 {
			t.Errorf("%s has %d of 200 tasks", m, counts[m])
		}
	}
	for task, owner := range owners { // one goes: its tasks move, the others stay
		ranked := at(slices.DeleteFunc(slices.Clone(five), func(m string) bool { return m == "k2" })...).rank(task)
		if owner != "k2" && ranked[0] != owner {
			t.Errorf("%s moves from %s to %s as k2 goes", task, owner, ranked[0])
		}
		if owner == "k2" && ranked[0] != at(five...).rank(task)[1] {
			t.Errorf("%s goes from k2 to %s, who did not stand by", task, ranked[0])
		}
		claims := 0
		for _, m := range five {
			if at(five...).shouldClaim(task, m) {
				claims++
			}
		}
		if claims != 1+standbys {
			t.Errorf("%d keepers claim %s", claims, task)
		}
	}
	// One that comes and goes is handed nothing before it has been there for a while.
	s := at("k0", "k1")
	task := "task-0"
	first, second := s.rank(task)[0], s.rank(task)[1]
	for now := time.Duration(0); now < time.Minute; now += time.Second {
		present := []string{second}
		if int(now/time.Second)%8 != 0 {
			present = append(present, first)
		}
		s.update(present, now)
		if to, hand := s.handOverTarget(task, second, []string{first}, now); hand {
			t.Fatalf("handed over to %s after %v", to, now)
		}
	}
	s.update([]string{first, second}, time.Minute)
	s.update([]string{first, second}, 2*time.Minute)
	if to, hand := s.handOverTarget(task, second, []string{first}, 2*time.Minute); !hand || to != first {
		t.Errorf("not handed over to %s: %s", first, to)
	}
	if _, hand := s.handOverTarget(task, second, nil, 2*time.Minute); hand {
		t.Error("handed over to one who does not wait")
	}
	if _, hand := s.handOverTarget(task, first, []string{second}, 2*time.Minute); hand {
		t.Error("handed over by the one who is to have it")
	}
}
