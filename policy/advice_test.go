package policy

import (
	"testing"
	"time"
)

// Without these limits, advice of a failed or faulty overload controller would remain in effect, or would
// admit requests that the sidecar would shed without advice.
func TestAdviceOnlyRejectsMoreAndFadesOut(t *testing.T) {
	refused := func(a OverloadAdvice, congestion float64, after time.Duration) int {
		b, h := start(t, lowTrafficConfig(), ready(1, 2, 3, 4, 5, 6))
		b.Advise(10*time.Second, a)
		now := 10*time.Second + after
		for id := range RequestID(200) {
			b.congestion = congestionEstimate{shares: 1000 * congestion, responses: 1000, at: now}
			submit(b, now, id, idempotentClass)
			end(b, now, id, 0, Served)
		}
		return len(h.refused)
	}
	for name, tt := range map[string]struct {
		advice      OverloadAdvice
		congestion  float64
		after       time.Duration
		least, most int
	}{
		"none":                    {OverloadAdvice{}, 0.3, 0, 0, 0},
		"a half":                  {OverloadAdvice{AdmittedShares: []float64{0.5}, ValidFor: 3 * time.Second}, 0.3, 0, 70, 130},
		"generous":                {OverloadAdvice{AdmittedShares: []float64{1000}, ValidFor: 3 * time.Second}, 0.3, 0, 0, 0},
		"generous, congested":     {OverloadAdvice{AdmittedShares: []float64{1000}, ValidFor: 3 * time.Second}, 0.9, 0, 190, 200},
		"expired":                 {OverloadAdvice{AdmittedShares: []float64{0}, ValidFor: 3 * time.Second}, 0.3, 3 * time.Second, 0, 0},
		"fading out":              {OverloadAdvice{AdmittedShares: []float64{0}, ValidFor: 3 * time.Second}, 0.3, 2500 * time.Millisecond, 70, 130},
		"valid too long":          {OverloadAdvice{AdmittedShares: []float64{0}, ValidFor: time.Hour}, 0.3, 3 * time.Second, 0, 0},
		"of another tenant":       {OverloadAdvice{AdmittedShares: []float64{1, 0}, ValidFor: 3 * time.Second}, 0.3, 0, 0, 0},
		"zero, no congestion":     {OverloadAdvice{AdmittedShares: []float64{0}, ValidFor: 3 * time.Second}, 0, 0, 0, 0},
		"zero, little congestion": {OverloadAdvice{AdmittedShares: []float64{0}, ValidFor: 3 * time.Second}, 0.1, 0, 70, 130},
	} {
		if n := refused(tt.advice, tt.congestion, tt.after); n < tt.least || n > tt.most {
			t.Errorf("%s: got %d of 200 refused, want %d to %d", name, n, tt.least, tt.most)
		}
	}
}
