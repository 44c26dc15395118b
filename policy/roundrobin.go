package policy

import (
	"math"
	"time"
)

// remoteZoneShare is how much of its turns a server of another zone gets. Where crossing has a price that is
// none; where traffic is thin, until servers of the own zone rest.
func (b *Balancer) remoteZoneShare(now time.Duration) float64 {
	if b.cfg.CrossZoneCost <= 0 {
		return 1
	}
	if rest := b.ejectedShare(now, true); b.lowTraffic && rest > zoneSpillThreshold {
		return rest
	}
	return 0
}

// pick is smooth weighted round robin over the ready servers of the cell that has the request's key warm, or of
// the next one; first over those that this balancer keeps to, then over all. A server loses its turn while it
// holds its portion of our attempts, rests, is silent or unwell (but for trials), or if the request was there.
func (b *Balancer) pick(now time.Duration, r *request) *server {
	far := b.remoteZoneShare(now)
	for near := true; ; near = false {
		b.cells = b.cells[:0]
		for _, s := range b.servers {
			s.eligible, s.effectiveWeight = false, 0
			part := 1.0 // of its turns
			if near && s.Zone != b.cfg.Zone {
				part = far
			}
			if part == 0 || near && b.outsideSubset(s) || r.triedAt(s) || !b.maySend(now, r, s) {
				continue
			}
			s.effectiveWeight = s.capacity * b.warmUpShare(now, s) * part
			s.eligible = b.eligible(now, s)
			b.addCell(r, s)
		}
		if c := b.preferredCell(r); c != nil {
			return b.nextInRotation(now, r, c.number)
		}
		if !near {
			return nil
		}
	}
}

// eligible says whether nothing is held against a server at the moment.
func (b *Balancer) eligible(now time.Duration, s *server) bool {
	switch {
	case b.ejected(now, s), b.cfg.MayProbe && (s.unresponsive && b.healthyWeight > 0 || s.zone.suspected),
		b.healthyWeight > 0 && s.outlier && (now < s.recoveryAt || s.inFlight > 0), float64(s.inFlight) >= b.inFlightLimit(s),
		now-s.reportedAt < time.Second && s.otherInFlight+float64(s.inFlight) >= 2+b.weightShare(b.expectedInFlight, s): // reported full
		return false
	}
	return true
}

// nextInRotation gives the next nextInRotation among the servers of a cell.
func (b *Balancer) nextInRotation(now time.Duration, r *request, cell int) *server {
	var best *server
	total, lost := 0.0, math.Inf(-1)
	for _, s := range b.servers {
		switch {
		case s.effectiveWeight == 0 || b.cellOf(r, s) != cell:
		case !s.eligible:
			lost = max(lost, s.currentWeight+s.effectiveWeight)
		default:
			s.currentWeight += s.effectiveWeight
			total += s.effectiveWeight
			if best == nil || s.currentWeight > best.currentWeight {
				best = s
			}
		}
	}
	switch {
	case best.outlier:
		b.counters.Trials++
		best.recoveryAt = now + b.backoff(best.consecutiveFailures)
	case best.currentWeight >= lost:
		b.counters.Ordinary++
	default:
		b.counters.Passed++
	}
	best.currentWeight -= total
	return best
}

// inFlightLimit is how many of our attempts a server may hold: its part of all our slots, less the more
// of the aim its answers take. It does not grow when others leave or fail: the last would be overrun.
func (b *Balancer) inFlightLimit(s *server) float64 {
	return max(1, b.weightShare(float64(b.totalSlots), s)*min(1, crowdedObjectiveShare*crowdedObjectiveShare/max(s.objectiveUse, 1e-4)))
}
