package policy

import (
	"cmp"
	"slices"
)

// minSubsetShare and maxSubsetShare bound the part of the servers that a balancer keeps to: with fewer,
// those with much traffic overrun theirs, and cells may be large or not known.
const minSubsetShare, maxSubsetShare = 1.0 / 6, 0.5

// chooseSubset chooses the servers that this balancer keeps to where traffic is thin, as each connection costs: of
// every cell the first in an order of its own, so that each key finds its cell, and as many as traffic fills.
func (b *Balancer) chooseSubset(part float64) {
	ready := slices.DeleteFunc(slices.Clone(b.servers), func(s *server) bool { return s.State != Ready })
	order := func(s *server) uint64 { return mix(b.subsetSalt ^ mix(uint64(s.ID))) }
	slices.SortFunc(ready, func(x, y *server) int {
		return cmp.Or(cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.Cell, y.Cell), cmp.Compare(order(x), order(y)))
	})
	kept, due := 0, 0.0
	for i, s := range ready {
		due += max(minSubsetShare, min(maxSubsetShare, part))
		first := i == 0 || s.Zone != ready[i-1].Zone || s.Cell != ready[i-1].Cell
		if s.outsideSubset = !first && due < 1; !s.outsideSubset {
			kept, due = kept+1, max(0, due-1)
		}
	}
	b.subsetShare = min(1, float64(kept)/float64(max(1, len(ready)))+subsetShareMargin)
}

// outsideSubset says whether a server is not among those that this balancer keeps to.
func (b *Balancer) outsideSubset(s *server) bool { return b.lowTraffic && s.outsideSubset }
