package settings

import (
	"barleywick/policy"
	"math"
	"slices"
	"strconv"
	"strings"
)

// LoadColumns are the names of the values in a load report, in their order.
type LoadColumns []string

// LoadColumns returns the names of what load reports hold.
func (s *Settings) LoadColumns() LoadColumns { return s.Values("telemetry.columns") }

// ParseLoadReport reads a load report of the form 'TEXT name=value, name=value': the values
// of the names given. What it lacks, and what is no number, has none; it may hold any
// number of others.
func ParseLoadReport(text string, names ...string) map[string]float64 {
	values := make(map[string]float64, len(names))
	text, _ = strings.CutPrefix(strings.TrimSpace(text), "TEXT ")
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !slices.Contains(names, name) {
			continue
		}
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			values[name] = v
		}
	}
	return values
}

// LoadReport turns a report into the module's own. value gives the number in a column
// and whether there is one; what is no number or negative is unknown.
func (c LoadColumns) LoadReport(value func(column int) (float64, bool)) policy.LoadReport {
	load := policy.UnknownLoad
	for i, name := range c {
		v, ok := value(i)
		if !ok || !(v >= 0) || math.IsInf(v, 0) {
			continue
		}
		switch name {
		case "busy_reqs":
			load.InFlight = v
		case "pending":
			load.Queued = v
		case "cpu_share":
			load.Utilization = v
		case "served_ps":
			load.ServedPerSecond = v
		}
	}
	return load
}
