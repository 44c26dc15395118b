package policy

import (
	"testing"
	"time"
)

// Guards against this: a task that died or lies keeps turning requests away, or a word
// lets more through than this sidecar would by itself.
func TestTheFleetsWordOnlyTightensAndFades(t *testing.T) {
	shed := func(a OverloadAdvice, jam float64, after time.Duration) (refused int) {
		b, h := start(t, lowTrafficConfig(), ready(1, 2, 3, 4, 5, 6))
		b.Advise(10*time.Second, a)
		now := 10*time.Second + after
		for id := range RequestID(200) {
			b.congestion = congestionEstimate{shares: 1000 * jam, answers: 1000, at: now}
			ask(b, now, id, idempotentClass)
			end(b, now, id, 0, Served)
		}
		return len(h.refused)
	}
	for name, tt := range map[string]struct {
		a           OverloadAdvice
		jam         float64
		after       time.Duration
		least, most int
	}{
		"none":                  {OverloadAdvice{}, 0.3, 0, 0, 0},
		"a half":                {OverloadAdvice{AdmittedShares: []float64{0.5}, ValidFor: 3 * time.Second}, 0.3, 0, 70, 130},
		"generous":              {OverloadAdvice{AdmittedShares: []float64{1000}, ValidFor: 3 * time.Second}, 0.3, 0, 0, 0},
		"generous in a jam":     {OverloadAdvice{AdmittedShares: []float64{1000}, ValidFor: 3 * time.Second}, 0.9, 0, 190, 200},
		"over":                  {OverloadAdvice{AdmittedShares: []float64{0}, ValidFor: 3 * time.Second}, 0.3, 3 * time.Second, 0, 0},
		"fades":                 {OverloadAdvice{AdmittedShares: []float64{0}, ValidFor: 3 * time.Second}, 0.3, 2500 * time.Millisecond, 70, 130},
		"for ever":              {OverloadAdvice{AdmittedShares: []float64{0}, ValidFor: time.Hour}, 0.3, 3 * time.Second, 0, 0},
		"of another tenant":     {OverloadAdvice{AdmittedShares: []float64{1, 0}, ValidFor: 3 * time.Second}, 0.3, 0, 0, 0},
		"zero where none jams":  {OverloadAdvice{AdmittedShares: []float64{0}, ValidFor: 3 * time.Second}, 0, 0, 0, 0},
		"zero where little jam": {OverloadAdvice{AdmittedShares: []float64{0}, ValidFor: 3 * time.Second}, 0.1, 0, 70, 130},
	} {
		if n := shed(tt.a, tt.jam, tt.after); n < tt.least || n > tt.most {
			t.Errorf("%s: %d of 200 refused, want %d to %d", name, n, tt.least, tt.most)
		}
	}
}
