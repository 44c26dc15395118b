package settings

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"barleywick/policy"
)

// LoadColumns are the names of the values in a load report, in order.
type LoadColumns []string

// LoadColumns returns the names of the values in load reports.
func (s *Settings) LoadColumns() LoadColumns { return s.Values("telemetry.columns") }

// ParseLoadReport reads a load report of the form 'TEXT name=value, name=value' and returns the values
// of the given names. A name that is missing, or whose value is not a number, is absent from the result.
// Other names are ignored.
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

// LoadReport converts a report. value returns the number in a column and whether the column has one. A
// negative or infinite number or NaN counts as unknown.
func (c LoadColumns) LoadReport(value func(column int) (float64, bool)) policy.LoadReport {
	report := policy.UnknownLoad
	for i, name := range c {
		v, ok := value(i)
		if !ok || !(v >= 0) || math.IsInf(v, 0) {
			continue
		}
		switch name {
		case "busy_reqs":
			report.InFlight = v
		case "pending":
			report.Queued = v
		case "cpu_share":
			report.Utilization = v
		case "served_ps":
			report.ServedPerSecond = v
		}
	}
	return report
}
