package policy

import (
	"cmp"
	"slices"
)

// Subsetting: with low traffic a balancer prefers a subset of the servers, since each connection has a cost.

const (
	// minSubsetShare and maxSubsetShare limit the share of servers in the subset. With fewer servers, balancers
	// with much traffic would overload theirs, and cells may be large or unknown.
	minSubsetShare, maxSubsetShare = 1.0 / 6, 0.5
	// subsetShareMargin allows for the random variation of the share of balancers that prefer a server.
	subsetShareMargin = 0.05
)

// subset is the state by which a balancer chooses its preferred servers.
type subset struct {
	salt  uint64  // makes this balancer's order of servers differ from that of others
	share float64 // expected share of the balancers that prefer a given server
}

// rank returns the sort key of a server within its cell, which differs between balancers.
func (p *subset) rank(id ServerID) uint64 { return mix(p.salt ^ mix(uint64(id))) }

// chooseSubset selects the subset: the first server of each cell, so that every cell is available for its
// keys, and as many others as needed to reach the given share of the servers.
func (b *Balancer) chooseSubset(share float64) {
	ready := slices.DeleteFunc(slices.Clone(b.endpoints.servers), func(s *server) bool { return s.State != Ready })
	slices.SortFunc(ready, func(x, y *server) int {
		return cmp.Or(
			cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.Cell, y.Cell),
			cmp.Compare(b.subset.rank(x.ID), b.subset.rank(y.ID)))
	})
	chosen, credit := 0, 0.0
	for i, s := range ready {
		credit += max(minSubsetShare, min(maxSubsetShare, share))
		firstOfCell := i == 0 || s.Zone != ready[i-1].Zone || s.Cell != ready[i-1].Cell
		s.outsideSubset = !firstOfCell && credit < 1
		if !s.outsideSubset {
			chosen, credit = chosen+1, max(0, credit-1)
		}
	}
	b.subset.share = min(1, float64(chosen)/float64(max(1, len(ready)))+subsetShareMargin)
}

// outsideSubset reports whether subsetting applies and a server is not in the subset.
func (b *Balancer) outsideSubset(s *server) bool { return b.traffic.low && s.outsideSubset }
