package policy

import (
	"math"
	"time"
)

// Smooth weighted round robin: in each round every eligible server's current weight grows by its
// effective weight, the highest is chosen, and the sum of the round is taken off it.

const (
	// crowdedObjectiveShare is the share of their objective from which a server's answers show that it
	// is crowded.
	crowdedObjectiveShare = 0.3
	// minMeanSquareShare avoids a division by zero at a server without any answer yet.
	minMeanSquareShare = 1e-4
	// objectiveShareWindow is the window of the moving average of the square of that share.
	objectiveShareWindow = 8
	// reportLifetime is how long a load report counts.
	reportLifetime = time.Second
	// reportTolerance is how many requests a server may report above its usual number, as a report is
	// older than most requests take.
	reportTolerance = 2
)

// rotation is a server's state in the round robin.
type rotation struct {
	current   float64 // current weight
	effective float64 // effective weight in the selection under way; 0: the request may not go there
	eligible  bool    // in the selection under way
}

// observeObjectiveShare learns which share of its objective an answer took.
func (s *server) observeObjectiveShare(share float64) {
	s.meanSquareShare += (share*share - s.meanSquareShare) / objectiveShareWindow
}

// selectServer chooses a server for a request, or nil: in the cell that probably has the request's
// key warm, or the next one; first within the subset and the near zone, then among all servers.
func (b *Balancer) selectServer(now time.Duration, r *request) *server {
	remoteShare := b.remoteZoneShare(now)
	for _, preferred := range []bool{true, false} {
		b.collectCells(now, r, preferred, remoteShare)
		if c := b.preferredCell(r); c != nil {
			return b.nextInRotation(now, r, c.number)
		}
	}
	return nil
}

// collectCells prepares the servers that may get a request, and their cells. With preferred only
// those within the subset count, and servers of other zones with a share of their weight.
func (b *Balancer) collectCells(now time.Duration, r *request, preferred bool, remoteShare float64) {
	b.cells = b.cells[:0]
	for _, s := range b.endpoints.servers {
		s.rotation.eligible, s.rotation.effective = false, 0
		share := 1.0
		if preferred && s.Zone != b.cfg.Zone {
			share = remoteShare
		}
		if share == 0 || preferred && b.outsideSubset(s) || r.triedAt(s) || !b.maySend(now, r, s) {
			continue
		}
		s.rotation.effective = s.capacity * b.warmUpShare(now, s) * share
		s.rotation.eligible = b.eligible(now, s)
		b.addCell(r, s)
	}
}

// remoteZoneShare is the share of their weight with which servers of other zones count. If crossing
// zones has a cost it is 0 or, with low traffic, the share of near servers that are ejected.
func (b *Balancer) remoteZoneShare(now time.Duration) float64 {
	if b.cfg.CrossZoneCost <= 0 {
		return 1
	}
	if ejected := b.ejectedShare(now, true); b.traffic.low && ejected > zoneSpillThreshold {
		return ejected
	}
	return 0
}

// eligible says whether a server may be chosen at the moment.
func (b *Balancer) eligible(now time.Duration, s *server) bool {
	othersHealthy := b.endpoints.healthyWeight > 0
	switch {
	case b.ejected(now, s):
	case b.cfg.MayProbe && (s.unresponsive && othersHealthy || s.zone.suspected):
	case othersHealthy && s.health.outlier && (now < s.health.recoveryAt || s.inFlight > 0):
	case float64(s.inFlight) >= b.inFlightLimit(s):
	case b.reportedFull(now, s):
	default:
		return true
	}
	return false
}

// reportedFull says whether a server holds more requests than it usually does, by its last report.
func (b *Balancer) reportedFull(now time.Duration, s *server) bool {
	if now-s.load.at >= reportLifetime {
		return false
	}
	usual := b.endpoints.weightShare(b.bulkheads.expectedInFlight, s)
	return s.load.otherInFlight+float64(s.inFlight) >= reportTolerance+usual
}

// inFlightLimit is how many attempts of this balancer a server may hold: its part of all slots, and
// less if its answers take much of their objective. It does not grow when other servers leave or
// fail, as the remaining ones would be overloaded.
func (b *Balancer) inFlightLimit(s *server) float64 {
	crowding := min(1, crowdedObjectiveShare*crowdedObjectiveShare/max(s.meanSquareShare, minMeanSquareShare))
	return max(1, b.endpoints.weightShare(float64(b.bulkheads.totalSlots), s)*crowding)
}

// nextInRotation chooses among the eligible servers of a cell, of which there is at least one.
func (b *Balancer) nextInRotation(now time.Duration, r *request, cell int) *server {
	var best *server
	total, bestIneligible := 0.0, math.Inf(-1)
	for _, s := range b.endpoints.servers {
		rot := &s.rotation
		switch {
		case rot.effective == 0 || b.cellOf(r, s) != cell:
		case !rot.eligible:
			bestIneligible = max(bestIneligible, rot.current+rot.effective)
		default:
			rot.current += rot.effective
			total += rot.effective
			if best == nil || rot.current > best.rotation.current {
				best = s
			}
		}
	}
	switch {
	case best.health.outlier:
		b.counters.Trials++
		best.health.recoveryAt = now + b.backoff(best.health.consecutiveFailures)
	case best.rotation.current >= bestIneligible:
		b.counters.Ordinary++
	default:
		b.counters.Passed++
	}
	best.rotation.current -= total
	return best
}
