package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Job is a request at a booking server.
type Job struct {
	Work     float64       // seconds on a core of speed 1
	Key      uint64        // affinity key; 0: none
	Repeat   uint64        // deduplication key; 0: repeats run
	Window   time.Duration // deduplication window
	Deadline time.Duration // the client's deadline
	Owner    any           // set by the caller, not used by the server

	Arrived time.Duration // at the server
	Started time.Duration // start of service; 0: not started
	Done    time.Duration
	Cold    bool // the server was in slow start at the start of service
	Failed  bool // it ended with an error
	Dropped bool // it did not run: its deadline had passed when it left the queue

	remaining float64
	work      float64
	willFail  bool
}

// Verdict is the server's decision on a request that arrives.
type Verdict int

// Verdicts.
const (
	Accepted   Verdict = iota // Advance returns the request when it has ended
	Rejected                  // the server is full or draining
	NotRunning                // no process is running
)

// LoadReport is a server's load: queued requests, fraction of busy cores, and requests served per second.
type LoadReport struct{ Queue, Busy, Rate float64 }

// Server models a booking server. It has no clock: callers pass the time, which must not decrease, and
// call Advance at the time that NextAdvance returns. It is not safe for concurrent use.
type Server struct {
	Index     int
	Zone      int
	Cell      *Cell
	Kind      MachineKind
	StartedAt time.Duration // last start; 0: before the run
	Speed     float64       // of this machine
	Alive     bool          // its process is running
	Draining  bool

	// Effects of active faults.
	Slowdown       float64 // factor by which it is slower; 1: not slowed down
	NeighbourShare float64 // fraction of the machine that another process takes
	FailureShare   float64 // fraction of the requests that fail at once
	Unreachable    bool    // the machine is disconnected from the network

	OpenConnections    int
	connectionsPerCore int // limit of open connections, per core

	rng            *rand.Rand
	rules          Rules
	advancedTo     time.Duration
	running        []*Job
	queue          []*Job
	overheadWork   float64   // pending work of handshakes and probes, done before requests
	workSinceStart float64   // work done since the start
	ended          []*Job    // ended, not yet returned by Advance
	returned       []*Job    // returned by the last Advance
	coldArrivals   []arrival // arrivals during slow start, within the rule's window
	Overloaded     bool      // failed due to overload during slow start

	lastReportAt time.Duration
	report       LoadReport
	busy         float64 // core seconds since the last report
	served       float64 // requests since the last report
}

type arrival struct {
	at   time.Duration
	work float64
}

// Cell is a group of servers that share an affinity cache. Servers of one cell or zone may be used
// concurrently, as the shared caches are locked.
type Cell struct {
	Number      int
	keys        *lru.Cache[uint64, time.Duration]
	zone        *dedupCache
	keySettings Keys
}

// dedupCache holds the deduplication keys that a zone has seen, with the time of each.
type dedupCache = lru.Cache[uint64, time.Duration]

// maxDedupKeys bounds a zone's deduplication cache. Fewer keys arrive within a deduplication window.
const maxDedupKeys = 1 << 17

func newDedupCache() *dedupCache {
	cache, err := lru.New[uint64, time.Duration](maxDedupKeys)
	if err != nil {
		panic(err) // the size is a constant
	}
	return cache
}

// newCell returns a cell whose cache is sized for its cores.
func newCell(number int, zone *dedupCache, settings Keys, cores int) *Cell {
	keys, err := lru.New[uint64, time.Duration](max(1, settings.PerCore*cores))
	if err != nil {
		panic(err) // the size is at least 1
	}
	return &Cell{Number: number, keys: keys, zone: zone, keySettings: settings}
}

// discount returns the fraction of the work that a request with this key needs, and caches the key.
func (c *Cell) discount(now time.Duration, key uint64) float64 {
	if key == 0 {
		return 1
	}
	at, seen := c.keys.Get(key)
	c.keys.Add(key, now)
	if seen && now-at <= time.Duration(c.keySettings.WarmWindow) {
		return 1 - c.keySettings.WarmSaving
	}
	return 1
}

const (
	warmUpStep      = 50 * time.Millisecond // step in which the capacity is recomputed during slow start
	probeWork       = 0.00014               // seconds
	repeatWork      = 0.001                 // seconds, for a deduplicated repeat
	failedWorkShare = 0.05                  // fraction of its work that a request costs if it fails at once
	warmUpWorkShare = 0.6                   // share of the slow start window's work at full capacity that ends slow start
	overloadSlack   = 1.1                   // tolerance on a server's budget during slow start, for random variation
)

// warmth returns the fraction of its full capacity that the server has reached in slow start; 1: warm.
func (s *Server) warmth(now time.Duration) float64 {
	if s.StartedAt == 0 || s.Kind.SlowStartWindow == 0 {
		return 1
	}
	byTime := (now - s.StartedAt).Seconds() / s.Kind.SlowStartWindow.seconds()
	byWork := s.workSinceStart / (warmUpWorkShare * s.fullCapacity() * s.Kind.SlowStartWindow.seconds())
	return min(1, s.Kind.SlowStartFloor+(1-s.Kind.SlowStartFloor)*max(byTime, byWork))
}

// fullCapacity returns the capacity of a warm machine, in seconds of work per second.
func (s *Server) fullCapacity() float64 { return float64(s.Kind.Cores) * s.Speed }

// Capacity returns the current capacity, including slow start and faults.
func (s *Server) Capacity(now time.Duration) float64 {
	if !s.Alive || s.Overloaded {
		return 0
	}
	return s.fullCapacity() * s.warmth(now) * s.speedFactor()
}

// State returns the number of queued requests and the capacity that is available to callers.
func (s *Server) State(now time.Duration) (waiting int, capacity float64) {
	if !s.Draining && !s.Unreachable {
		capacity = s.Capacity(now)
	}
	return len(s.queue), capacity
}

// ColdCapacity returns the capacity during slow start, without faults; 0 if the server is warm.
func (s *Server) ColdCapacity(now time.Duration) float64 {
	if w := s.warmth(now); w < 1 {
		return s.fullCapacity() * w
	}
	return 0
}

// speedFactor returns the fraction of the speed that is left after faults, crowding and open connections.
func (s *Server) speedFactor() float64 {
	f := (1 - s.NeighbourShare) / max(1, s.Slowdown)
	if over := float64(len(s.running)+len(s.queue))/float64(s.Kind.Cores) - s.Kind.CrowdedAt; over > 0 && s.Kind.Crowding > 0 {
		f /= 1 + s.Kind.Crowding*over
	}
	return f * (1 - s.Kind.ConnectionCost*float64(s.OpenConnections)/float64(max(1, s.maxConnections())))
}

// rate returns how fast each running request progresses.
func (s *Server) rate() float64 {
	if len(s.running) == 0 {
		return 0
	}
	return s.Speed * s.warmth(s.advancedTo) * s.speedFactor() * min(1, float64(s.Kind.Cores)/float64(len(s.running)))
}

// Start starts a process, which begins its slow start.
func (s *Server) Start(now time.Duration) {
	s.StartedAt, s.Alive, s.Draining, s.Overloaded = now, true, false, false
	s.workSinceStart, s.overheadWork, s.coldArrivals, s.advancedTo = 0, 0, s.coldArrivals[:0], now
}

// Kill ends the process and returns its unfinished requests.
func (s *Server) Kill(now time.Duration) []*Job {
	s.Advance(now)
	unfinished := append(s.running, s.queue...)
	s.running, s.queue, s.Alive, s.OpenConnections = nil, nil, false, 0
	return unfinished
}

// maxConnections returns the limit of open connections.
func (s *Server) maxConnections() int { return max(1, s.Kind.Cores*s.connectionsPerCore) }

// Connect opens a connection and reports whether the server accepted it.
func (s *Server) Connect(handshake time.Duration) bool {
	if !s.Alive || s.Overloaded || s.OpenConnections >= s.maxConnections() {
		return false
	}
	s.OpenConnections++
	s.overheadWork += handshake.Seconds()
	return true
}

// Arrive delivers a request whose last byte has arrived. Advance must have been called for now.
func (s *Server) Arrive(now time.Duration, j *Job) Verdict {
	if !s.Alive || s.Overloaded {
		return NotRunning
	}
	s.recordColdWork(now, j.Work)
	if s.Overloaded {
		return NotRunning
	}
	if s.Draining || (len(s.running) >= s.slots() && len(s.queue) >= s.Kind.QueueCapacity*s.Kind.Cores) {
		return Rejected
	}
	j.Arrived = now
	s.queue = append(s.queue, j)
	s.startJobs()
	return Accepted
}

func (s *Server) slots() int { return s.Kind.Slots * s.Kind.Cores }

// recordColdWork records work that arrives during slow start. More than a multiple of the capacity within
// the rule's window overloads the server.
func (s *Server) recordColdWork(now time.Duration, work float64) {
	if s.warmth(now) >= 1 {
		s.coldArrivals = s.coldArrivals[:0]
		return
	}
	n := 0
	for n < len(s.coldArrivals) && s.coldArrivals[n].at <= now-time.Duration(s.rules.OverloadWindow) {
		n++
	}
	s.coldArrivals = append(s.coldArrivals[n:], arrival{now, work})
	sum := 0.0
	for _, a := range s.coldArrivals {
		sum += a.work
	}
	if sum > overloadSlack*s.rules.OverloadFactor*s.fullCapacity()*s.warmth(now)*s.rules.OverloadWindow.seconds() {
		s.Overloaded = true
	}
}

// startJobs starts queued requests while slots are free.
func (s *Server) startJobs() {
	for len(s.running) < s.slots() && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if s.Kind.DropsLate && s.advancedTo >= j.Deadline {
			j.Dropped = true
			s.ended = append(s.ended, j)
			continue
		}
		j.Started, j.Cold = s.advancedTo, s.warmth(s.advancedTo) < 1
		j.remaining = j.Work * s.Cell.discount(s.advancedTo, j.Key)
		if j.Repeat != 0 {
			if at, seen := s.Cell.zone.Get(j.Repeat); seen && s.advancedTo-at < j.Window {
				j.remaining = min(j.remaining, repeatWork)
			} else {
				s.Cell.zone.Add(j.Repeat, s.advancedTo)
			}
		}
		if s.rng.Float64() < max(s.FailureShare, s.Kind.ErrorRate) {
			j.willFail = true
			j.remaining *= failedWorkShare
		}
		j.work = j.remaining
		j.remaining += s.overheadWork
		s.overheadWork = 0
		s.running = append(s.running, j)
	}
}

// Advance advances the server to a time and returns the requests that ended, in order. The slice is valid
// until the next call.
func (s *Server) Advance(now time.Duration) []*Job {
	s.startJobs()
	for s.advancedTo < now {
		until := now
		rate := s.rate()
		if s.warmth(s.advancedTo) < 1 {
			until = min(until, s.advancedTo+warmUpStep)
		}
		if rate > 0 {
			until = min(until, s.advancedTo+s.timeToFirstEnd(rate))
		}
		dt := (until - s.advancedTo).Seconds()
		s.advancedTo = until
		if len(s.running) == 0 {
			s.overheadWork = max(0, s.overheadWork-dt*s.fullCapacity())
			if s.warmth(s.advancedTo) >= 1 {
				s.advancedTo = now
			}
			continue
		}
		s.busy += dt * float64(min(len(s.running), s.Kind.Cores))
		kept := s.running[:0]
		for _, j := range s.running {
			j.remaining -= rate * dt
			s.workSinceStart += rate * dt
			if j.remaining > 1e-9 {
				kept = append(kept, j)
				continue
			}
			j.Failed, j.Done = j.willFail, s.advancedTo
			s.served++
			s.ended = append(s.ended, j)
		}
		clear(s.running[len(kept):])
		s.running = kept
		s.startJobs()
	}
	s.returned, s.ended = s.ended, s.returned[:0]
	return s.returned
}

// timeToFirstEnd returns the time until the first running request ends at this rate; at least a nanosecond.
func (s *Server) timeToFirstEnd(rate float64) time.Duration {
	shortest := math.Inf(1)
	for _, j := range s.running {
		shortest = min(shortest, j.remaining)
	}
	return max(1, time.Duration(math.Ceil(shortest/rate*1e9)))
}

// Never is a time after the end of every run.
const Never = time.Duration(math.MaxInt64)

// NextAdvance returns the next time at which Advance must be called, or Never if nothing is running.
func (s *Server) NextAdvance() time.Duration {
	if len(s.ended) > 0 {
		return s.advancedTo
	}
	rate := s.rate()
	if rate <= 0 {
		return Never
	}
	d := s.timeToFirstEnd(rate)
	if s.warmth(s.advancedTo) < 1 {
		d = min(d, warmUpStep)
	}
	return s.advancedTo + d
}

// Probe returns the load report, which is renewed once per ReportInterval. A probe costs some work.
func (s *Server) Probe(now time.Duration) LoadReport {
	s.overheadWork += probeWork
	if elapsed := now - s.lastReportAt; elapsed >= time.Duration(s.Kind.ReportInterval) {
		noise := func() float64 { return 1 + s.Kind.ReportNoise*s.rng.NormFloat64() }
		s.report = LoadReport{
			Queue: math.Max(0, math.Round(float64(len(s.queue))*noise())),
			Busy:  min(1, max(0, s.busy/elapsed.Seconds()/float64(s.Kind.Cores)*noise())),
			Rate:  max(0, s.served/elapsed.Seconds()*noise()),
		}
		s.lastReportAt, s.busy, s.served = now, 0, 0
	}
	return s.report
}
