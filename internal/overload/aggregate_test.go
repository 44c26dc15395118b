package overload

import (
	"fmt"
	"testing"
	"time"
)

// Equal digests give equal advice. Summing floating-point values in the iteration order of a map made
// the advice of two planners, or of two plans of one, differ in the last digits.
func TestAggregateIsDeterministic(t *testing.T) {
	const sidecars, rounds = 64, 50
	var first float64
	for round := range rounds {
		p := NewPlanner("test", 1)
		for i := range sidecars {
			d := Digest{
				Fleet: "test", Name: fmt.Sprint("n", i), Incarnation: 1, Seq: 1, PeriodMS: int64(700 + 37*i), Congestion: 1 / float64(i+3),
				Tenants: []TenantCounts{{Tenant: "acme", Quota: 1, Requests: uint64(3 + i), InTime: uint64(2 + i), Late: 1}},
			}
			if err := p.AddDigest(time.Second, d); err != nil {
				t.Fatal(err)
			}
		}
		got := p.aggregate(time.Second).congestion
		if round == 0 {
			first = got
		}
		if got != first {
			t.Fatalf("round %d: got congestion %v, want %v as of the same digests in round 0", round, got, first)
		}
	}
}
