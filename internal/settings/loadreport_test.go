package settings

import (
	"barleywick/policy"
	"math"
	"testing"
)

// Servers may report queued requests but not requests in flight. Such a report must not be ignored.
func TestLoadReportTakesEveryKnownColumn(t *testing.T) {
	columns := LoadColumns{"pending", "cpu_share", "served_ps", "svc_ms"}
	for _, tt := range []struct {
		name   string
		values []float64
		want   policy.LoadReport
	}{
		{"all", []float64{3, 0.5, 20, 7}, policy.LoadReport{InFlight: -1, Queued: 3, Utilization: 0.5, ServedPerSecond: 20}},
		{"cut short", []float64{3}, policy.LoadReport{InFlight: -1, Queued: 3, Utilization: -1, ServedPerSecond: -1}},
		{"unusable", []float64{math.NaN(), -1, math.Inf(1)}, policy.UnknownLoad},
	} {
		got := columns.LoadReport(func(i int) (float64, bool) {
			if i >= len(tt.values) {
				return 0, false
			}
			return tt.values[i], true
		})
		if got != tt.want {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
	}
}
