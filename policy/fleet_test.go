package policy

import "testing"

// A count of the balancers from elsewhere divides budgets among more, and never among
// fewer than are configured.
func TestFleetOnlyTightens(t *testing.T) {
	cfg := probingConfig()
	cfg.Balancers = 10
	b, _ := start(t, cfg, ready(1, 2))
	for _, c := range []struct{ said, want int }{{3, 10}, {40, 40}, {0, 10}, {-5, 10}, {12, 12}} {
		if b.SetFleetSize(c.said); b.cfg.Balancers != c.want {
			t.Errorf("%d are said, %d count; want %d", c.said, b.cfg.Balancers, c.want)
		}
	}
}
