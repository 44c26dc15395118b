package policy

import "math"

// Key affinity: a cell of servers that has recently served a key needs about half the work for it. Each
// cell caches a limited number of keys. Weighted rendezvous hashing gives all balancers the same ranking of
// cells for a key without communication. If the first cell has no eligible server, all balancers use the
// same second cell.

// minCellWeight avoids a division by zero for a cell whose servers have no effective weight.
const minCellWeight = 1e-9

// cell is a group of servers that are candidates in the current selection and share cached keys.
type cell struct {
	number   int
	weight   float64 // sum of the effective weights of its servers
	eligible bool    // at least one of its servers is eligible
}

// cellOf returns the cell number of a server for a request. Without an affinity key all servers form a single
// cell with number 0.
func (b *Balancer) cellOf(r *request, s *server) int {
	if r.affinityKey == 0 || !b.cfg.KeyAffinity {
		return 0
	}
	return s.Cell
}

// addCell adds a candidate server's weight and eligibility to its cell.
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

// preferredCell returns the best-ranked cell for the request's key that has an eligible server, or nil.
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

// rendezvousRank returns the rank of a cell for a key; the lowest rank is preferred. Each cell is preferred
// for a share of the keys in proportion to its weight, and removing a cell moves only that cell's keys.
func rendezvousRank(key uint64, cell int, weight float64) float64 {
	x := mix(key ^ mix(uint64(cell)+0x9e3779b97f4a7c15))
	return -math.Log((float64(x>>11)+0.5)/(1<<53)) / max(weight, minCellWeight)
}

// mix is the finalizer of SplitMix64, a hash of a 64-bit integer.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
