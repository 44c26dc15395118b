package policy

import "math"

// Affinity: a cell of servers that met a key lately does about half the work for it, and remembers only so
// many. By weighted rendezvous hashing all balancers rank the cells alike for a key, without a word: where the
// first has no turn to give, the second is the same at all of them again.

// cell is one cell of the servers that a request may go to.
type cell struct {
	number   int
	weight   float64 // of its servers
	eligible bool    // one of them has a turn to give
}

// cellOf is the cell of a server to a request; without a key all are one.
func (b *Balancer) cellOf(r *request, s *server) int {
	if r.affinityKey == 0 || !b.cfg.KeyAffinity {
		return 0
	}
	return s.Cell
}

// addCell counts a server to its cell.
func (b *Balancer) addCell(r *request, s *server) {
	number := b.cellOf(r, s)
	for i := range b.cells {
		if c := &b.cells[i]; c.number == number {
			c.weight += s.effectiveWeight
			c.eligible = c.eligible || s.eligible
			return
		}
	}
	b.cells = append(b.cells, cell{number, s.effectiveWeight, s.eligible})
}

// preferredCell is the first cell in the key's order that has a turn to give, or nil.
func (b *Balancer) preferredCell(r *request) *cell {
	var best *cell
	rank := math.Inf(1)
	for i := range b.cells {
		if c := &b.cells[i]; c.eligible {
			if own := rendezvous(r.affinityKey, c.number, c.weight); best == nil || own < rank {
				best, rank = c, own
			}
		}
	}
	return best
}

// rendezvous ranks a cell for a key, the least first: over many keys each cell comes
// first in proportion to its weight, and one that leaves moves no other cell's keys.
func rendezvous(key uint64, cell int, weight float64) float64 {
	x := mix(key ^ mix(uint64(cell)+0x9e3779b97f4a7c15))
	return -math.Log((float64(x>>11)+0.5)/(1<<53)) / max(weight, 1e-9)
}

// mix spreads the bits of a number evenly (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
