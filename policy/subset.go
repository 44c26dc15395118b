package policy

import (
	"cmp"
	"slices"
)

// Subsetting: with low traffic a balancer prefers a part of the servers, as each connection has a cost.

const (
	// minSubsetShare and maxSubsetShare bound the subset: with fewer servers balancers with much traffic
	// would overload theirs, and cells may be large or unknown.
	minSubsetShare, maxSubsetShare = 1.0 / 6, 0.5
	// subsetShareMargin is the part of the balancers by which the number of those that prefer a server may
	// exceed the mean by chance.
	subsetShareMargin = 0.05
)

// subset is how a balancer chooses the servers that it prefers.
type subset struct {
	salt  uint64  // of this balancer's order of the servers
	share float64 // expected part of the balancers that prefer a given server
}

// rank orders the servers of a cell, differently at each balancer.
func (p *subset) rank(id ServerID) uint64 { return mix(p.salt ^ mix(uint64(id))) }

// chooseSubset chooses the subset: the first server of each cell, so that each key finds its cell,
// and as many others as the given share of the servers needs.
func (b *Balancer) chooseSubset(share float64) {
	ready := slices.DeleteFunc(slices.Clone(b.endpoints.servers), func(s *server) bool { return s.State != Ready })
	slices.SortFunc(ready, func(x, y *server) int {
		return cmp.Or(
			cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.Cell, y.Cell),
			cmp.Compare(b.subset.rank(x.ID), b.subset.rank(y.ID)))
	})
	chosen, due := 0, 0.0
	for i, s := range ready {
		due += max(minSubsetShare, min(maxSubsetShare, share))
		firstOfCell := i == 0 || s.Zone != ready[i-1].Zone || s.Cell != ready[i-1].Cell
		s.outsideSubset = !firstOfCell && due < 1
		if !s.outsideSubset {
			chosen, due = chosen+1, max(0, due-1)
		}
	}
	b.subset.share = min(1, float64(chosen)/float64(max(1, len(ready)))+subsetShareMargin)
}

// outsideSubset says whether subsetting is in force and a server is not among the preferred ones.
func (b *Balancer) outsideSubset(s *server) bool { return b.traffic.low && s.outsideSubset }
