package overload

import (
	"fmt"
	"testing"
	"time"
)

// What happens: two planners that have the same digests, or one that plans twice, give advice
// that differs in its last digits. Why: floating-point values were added in the order of a map,
// which is another one each time.
func TestAggregateDoesNotDependOnTheOrder(t *testing.T) {
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
			t.Fatalf("round %d: the congestion is %v, and was %v of the same digests", round, got, first)
		}
	}
}
