package policy

import "math"

// Key affinity: a cell of servers that has met a key recently needs about half the work for it, and
// remembers a limited number of keys. By weighted rendezvous hashing all balancers rank the cells
// alike for a key without any communication. If the first cell has no eligible server, the second
// is again the same at all of them.

// minCellWeight avoids a division by zero for a cell whose servers have no weight.
const minCellWeight = 1e-9

// cell is a cell of the servers that may get the request of the selection under way.
type cell struct {
	number   int
	weight   float64 // of its servers
	eligible bool    // it has an eligible server
}

// cellOf is a server's cell as far as a request is concerned: without a key all are one cell.
func (b *Balancer) cellOf(r *request, s *server) int {
	if r.affinityKey == 0 || !b.cfg.KeyAffinity {
		return 0
	}
	return s.Cell
}

// addCell adds a server to its cell.
func (b *Balancer) addCell(r *request, s *server) {
	number := b.cellOf(r, s)
	for i := range b.cells {
		if c := &b.cells[i]; c.number == number {
			c.weight += s.rotation.effective
			c.eligible = c.eligible || s.rotation.eligible
			return
		}
	}
	b.cells = append(b.cells, cell{number, s.rotation.effective, s.rotation.eligible})
}

// preferredCell is the first cell by the rank of the request's key that has an eligible server, or nil.
func (b *Balancer) preferredCell(r *request) *cell {
	var best *cell
	bestRank := math.Inf(1)
	for i := range b.cells {
		c := &b.cells[i]
		if !c.eligible {
			continue
		}
		if rank := rendezvousRank(r.affinityKey, c.number, c.weight); best == nil || rank < bestRank {
			best, bestRank = c, rank
		}
	}
	return best
}

// rendezvousRank ranks a cell for a key, the lowest first: over many keys each cell comes first in
// proportion to its weight, and when a cell leaves, the other cells keep their keys.
func rendezvousRank(key uint64, cell int, weight float64) float64 {
	x := mix(key ^ mix(uint64(cell)+0x9e3779b97f4a7c15))
	return -math.Log((float64(x>>11)+0.5)/(1<<53)) / max(weight, minCellWeight)
}

// mix distributes the bits of a number evenly (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
