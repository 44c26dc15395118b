package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// keptLeast and keptMost bound the part of the servers that a balancer keeps to: with fewer,
// those with much traffic overrun theirs, and cells may be large or not known.
const keptLeast, keptMost = 1.0 / 6, 0.5

// keep chooses the servers that this balancer keeps to where traffic is thin, as each connection costs: of
// every cell the first in an order of its own, so that each key finds its cell, and as many as traffic fills.
func (b *Balancer) keep(part float64) {
	ready := slices.DeleteFunc(slices.Clone(b.servers), func(s *server) bool { return s.State != Ready })
	order := func(s *server) uint64 { return mix(b.salt ^ mix(uint64(s.ID))) }
	slices.SortFunc(ready, func(x, y *server) int {
		return cmp.Or(cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.Cell, y.Cell), cmp.Compare(order(x), order(y)))
	})
	kept, due := 0, 0.0
	for i, s := range ready {
		due += max(keptLeast, min(keptMost, part))
		first := i == 0 || s.Zone != ready[i-1].Zone || s.Cell != ready[i-1].Cell
		if s.spare = !first && due < 1; !s.spare {
			kept, due = kept+1, max(0, due-1)
		}
	}
	b.users = min(1, float64(kept)/float64(max(1, len(ready)))+usersMore)
}

// spared says whether a server is not among those that this balancer keeps to.
func (b *Balancer) spared(s *server) bool { return b.thin && s.spare }

// far is how much of its turns a server of another zone gets. Where crossing has a price that is
// none; where traffic is thin, until servers of the own zone rest.
func (b *Balancer) far(now time.Duration) float64 {
	if b.cfg.CrossZoneCost <= 0 {
		return 1
	}
	if rest := b.atRest(now, true); b.thin && rest > spillFrom {
		return rest
	}
	return 0
}

// pick is smooth weighted round robin over the ready servers of the cell that has the request's key warm, or of
// the next one; first over those that this balancer keeps to, then over all. A server loses its turn while it
// holds its portion of our attempts, rests, is silent or unwell (but for trials), or if the request was there.
func (b *Balancer) pick(now time.Duration, r *request) *server {
	far := b.far(now)
	for near := true; ; near = false {
		b.cells = b.cells[:0]
		for _, s := range b.servers {
			s.turnable, s.weighs = false, 0
			part := 1.0 // of its turns
			if near && s.Zone != b.cfg.Zone {
				part = far
			}
			if part == 0 || near && b.spared(s) || r.tried(s) || !b.mayGo(now, r, s) {
				continue
			}
			s.weighs = s.size * b.warmth(now, s) * part
			s.turnable = b.turnable(now, s)
			b.addCell(r, s)
		}
		if c := b.warmest(r); c != nil {
			return b.turn(now, r, c.number)
		}
		if !near {
			return nil
		}
	}
}

// turnable says whether nothing is held against a server at the moment.
func (b *Balancer) turnable(now time.Duration, s *server) bool {
	switch {
	case b.resting(now, s), b.cfg.MayProbe && (s.silent && b.well > 0 || s.in.doubted),
		b.well > 0 && s.unwell && (now < s.trialAt || s.out > 0), float64(s.out) >= b.portion(s),
		now-s.toldAt < time.Second && s.others+float64(s.out) >= 2+b.part(b.mean, s): // reported full
		return false
	}
	return true
}

// turn gives the next turn among the servers of a cell.
func (b *Balancer) turn(now time.Duration, r *request, cell int) *server {
	var best *server
	total, lost := 0.0, math.Inf(-1)
	for _, s := range b.servers {
		switch {
		case s.weighs == 0 || b.cellOf(r, s) != cell:
		case !s.turnable:
			lost = max(lost, s.turn+s.weighs)
		default:
			s.turn += s.weighs
			total += s.weighs
			if best == nil || s.turn > best.turn {
				best = s
			}
		}
	}
	switch {
	case best.unwell:
		b.count.Trials++
		best.trialAt = now + b.backoff(best.strikes)
	case best.turn >= lost:
		b.count.Ordinary++
	default:
		b.count.Passed++
	}
	best.turn -= total
	return best
}

// portion is how many of our attempts a server may hold: its part of all our slots, less the more
// of the aim its answers take. It does not grow when others leave or fail: the last would be overrun.
func (b *Balancer) portion(s *server) float64 {
	return max(1, b.part(float64(b.slots), s)*min(1, crowdedAt*crowdedAt/max(s.used, 1e-4)))
}
