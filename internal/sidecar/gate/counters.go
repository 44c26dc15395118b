package gate

import (
	"fmt"
	"log/slog"

	"barleywick/policy"
)

// Counters holds the numbers of decisions and violations so far. Zero counts have no entry. The keys
// are metric label values.
type Counters struct {
	Decided  map[string]uint64 // by "action: denial"
	Violated map[string]uint64 // by rule
}

// Counters returns a snapshot of the counters.
func (g *Gate) Counters() Counters {
	c := Counters{Decided: make(map[string]uint64), Violated: make(map[string]uint64)}
	for a := range actionCount {
		for denial := range policy.NumDenials {
			if n := g.decided[a][denial].Load(); n > 0 {
				c.Decided[fmt.Sprintf("%v: %v", a, denial)] = n
			}
		}
	}
	for v := range violationCount {
		if n := g.violations[v].Load(); n > 0 {
			c.Violated[v.String()] = n
		}
	}
	return c
}

// LogCounters logs a snapshot of the counters.
func (g *Gate) LogCounters() {
	c := g.Counters()
	slog.Info("gate: counters", "decided", c.Decided, "violated", c.Violated)
}
