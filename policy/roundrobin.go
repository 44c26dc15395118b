package policy

import (
	"math"
	"time"
)

// Smooth weighted round robin: each selection increases the current weight of every eligible server by its
// effective weight, selects the server with the highest current weight, and subtracts the sum of the
// effective weights from it.

const (
	// crowdedObjectiveShare is the share of their objective above which a server's responses indicate that the
	// server is crowded.
	crowdedObjectiveShare = 0.3
	// minMeanSquareShare avoids a division by zero for a server without any response yet.
	minMeanSquareShare = 1e-4
	// objectiveShareWindow is the window of the moving average of the squared share, in responses.
	objectiveShareWindow = 8
	// reportLifetime is the time after which a load report is ignored.
	reportLifetime = time.Second
	// reportTolerance is the number of requests that a server may report above its expected number, since the
	// age of a report usually exceeds the duration of most requests.
	reportTolerance = 2
)

// rotation is a server's state in the round robin.
type rotation struct {
	current   float64 // current weight
	effective float64 // effective weight in the current selection; 0: the request must not be sent there
	eligible  bool    // in the current selection
}

// observeObjectiveShare updates the mean square with the share of its objective that a response took.
func (s *server) observeObjectiveShare(share float64) {
	s.meanSquareShare += (share*share - s.meanSquareShare) / objectiveShareWindow
}

// selectServer selects a server for a request, or returns nil. It prefers the cell that probably has the
// request's key cached. It first considers the subset and the local zone, then all servers.
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

// collectCells sets the effective weights of the servers to which a request may be sent, and collects their
// cells. With preferred it includes only servers of the subset, and those of other zones with remoteShare of
// their weight.
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

// remoteZoneShare returns the share of their weight that servers of other zones get. If crossing zones has a
// cost it is 0 or, with low traffic and enough ejections, the ejected share of the local zone.
func (b *Balancer) remoteZoneShare(now time.Duration) float64 {
	if b.cfg.CrossZoneCost <= 0 {
		return 1
	}
	if ejected := b.ejectedShare(now, true); b.traffic.low && ejected > zoneSpillThreshold {
		return ejected
	}
	return 0
}

// eligible reports whether a server may be selected now.
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

// reportedFull reports whether a server has more requests in flight than expected, by its last load report.
func (b *Balancer) reportedFull(now time.Duration, s *server) bool {
	if now-s.load.at >= reportLifetime {
		return false
	}
	expected := b.endpoints.weightShare(b.bulkheads.expectedInFlight, s)
	return s.load.otherInFlight+float64(s.inFlight) >= reportTolerance+expected
}

// inFlightLimit returns the maximum number of attempts of this balancer in flight at a server: its share of
// all slots, reduced if its responses take much of their objective. It does not increase when other servers
// leave or fail, since that would overload the remaining ones.
func (b *Balancer) inFlightLimit(s *server) float64 {
	crowding := min(1, crowdedObjectiveShare*crowdedObjectiveShare/max(s.meanSquareShare, minMeanSquareShare))
	return max(1, b.endpoints.weightShare(float64(b.bulkheads.totalSlots), s)*crowding)
}

// nextInRotation selects one of the eligible servers of a cell, of which there must be at least one.
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
