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
	Window   time.Duration // of the deduplication
	Deadline time.Duration // its client's
	Owner    any           // the caller's own

	Arrived time.Duration // at the server
	Started time.Duration // its service started; 0: it has not
	Done    time.Duration
	Cold    bool // the server was warming up then
	Failed  bool // it ended in an error
	Dropped bool // its deadline had passed then: it never ran

	remaining float64
	work      float64
	willFail  bool
}

// Verdict is the server's decision on a request that arrives.
type Verdict int

// Verdicts.
const (
	Accepted   Verdict = iota // Advance returns it when it has ended
	Rejected                  // the server is full, or draining
	NotRunning                // no process is there
)

// LoadReport is a server's report of its load.
type LoadReport struct{ Queue, Busy, Rate float64 }

// Server is a booking server. It has no clock: callers pass the time, which never
// decreases, and call Advance at the time that Next returns. It is not safe for concurrent use.
type Server struct {
	Index     int
	Zone      int
	Cell      *Cell
	Kind      MachineKind
	StartedAt time.Duration // last start; 0: long ago
	Speed     float64       // of this machine
	Alive     bool          // its process runs
	Draining  bool

	// Effects of active faults.
	Slowdown       float64 // times slower; 1: not
	NeighbourShare float64 // fraction of the machine that another process takes
	FailureShare   float64 // fraction of the requests that fail at once
	Unreachable    bool    // the machine is cut off from the network

	OpenConnections    int // connections
	connectionsPerCore int // connections for each core

	rng            *rand.Rand
	rules          Rules
	advancedTo     time.Duration
	running        []*Job
	queue          []*Job
	overheadWork   float64   // work for handshakes and probes, done before requests
	workSinceStart float64   // work done since the start
	ended          []*Job    // not returned yet
	returned       []*Job    // by the last Advance
	coldArrivals   []arrival // while warming up, within the rule's window
	Overloaded     bool      // overloaded while warming up

	lastReportAt time.Duration
	report       LoadReport
	busy         float64 // core seconds, since the last report
	served       float64
}

type arrival struct {
	at   time.Duration
	work float64
}

// Cell is a group of servers that share a cache of keys. Servers of one cell or
// zone may be used concurrently: the shared caches have locks.
type Cell struct {
	Number      int
	keys        *lru.Cache[uint64, time.Duration]
	zone        *dedupCache
	keySettings Keys
}

// dedupCache holds the deduplication keys that a zone has met, with the time of each.
type dedupCache = lru.Cache[uint64, time.Duration]

// maxRepeats bounds a zone's deduplication cache; it is more than arrive within a window.
const maxDedupKeys = 1 << 17

func newDedupCache() *dedupCache {
	cache, err := lru.New[uint64, time.Duration](maxDedupKeys)
	if err != nil {
		panic(err) // the size is a constant
	}
	return cache
}

// newCell makes a cell whose cache has room for its cores.
func newCell(number int, zone *dedupCache, settings Keys, cores int) *Cell {
	keys, err := lru.New[uint64, time.Duration](max(1, settings.PerCore*cores))
	if err != nil {
		panic(err) // the size is at least 1
	}
	return &Cell{Number: number, keys: keys, zone: zone, keySettings: settings}
}

// discount returns the fraction of its work that a request with this key needs, and remembers the key.
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
	warmUpStep      = 50 * time.Millisecond // step in which the capacity of a server that warms up is followed
	probeWork       = 0.00014               // seconds of work that a probe costs
	repeatWork      = 0.001                 // seconds of work that a dropped repeat costs
	failedWorkShare = 0.05                  // fraction of its work that a request costs when it fails at once
	warmUpWorkShare = 0.6                   // a server is warm after this fraction of the work it could have done meanwhile
	overloadSlack   = 1.1                   // tolerance on the budget of a server that warms up, for random variation
)

// warmth returns the fraction of its capacity that the server has reached.
func (s *Server) warmth(now time.Duration) float64 {
	if s.StartedAt == 0 || s.Kind.SlowStartWindow == 0 {
		return 1
	}
	byTime := (now - s.StartedAt).Seconds() / s.Kind.SlowStartWindow.seconds()
	byWork := s.workSinceStart / (warmUpWorkShare * s.fullCapacity() * s.Kind.SlowStartWindow.seconds())
	return min(1, s.Kind.SlowStartFloor+(1-s.Kind.SlowStartFloor)*max(byTime, byWork))
}

// fullCapacity returns what the machine can do when warm: seconds of work a second.
func (s *Server) fullCapacity() float64 { return float64(s.Kind.Cores) * s.Speed }

// Capacity returns what the server can do now, with warm-up and faults.
func (s *Server) Capacity(now time.Duration) float64 {
	if !s.Alive || s.Overloaded {
		return 0
	}
	return s.fullCapacity() * s.warmth(now) * s.speedFactor()
}

// State returns how many requests are queued, and the capacity that callers can use.
func (s *Server) State(now time.Duration) (waiting int, capacity float64) {
	if !s.Draining && !s.Unreachable {
		capacity = s.Capacity(now)
	}
	return len(s.queue), capacity
}

// ColdCapacity returns the capacity while warming up, without faults; 0 once the server is warm.
func (s *Server) ColdCapacity(now time.Duration) float64 {
	if w := s.warmth(now); w < 1 {
		return s.fullCapacity() * w
	}
	return 0
}

// speedFactor returns the fraction of the speed that faults, crowding and connections leave.
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

// Start starts a process, which begins to warm up.
func (s *Server) Start(now time.Duration) {
	s.StartedAt, s.Alive, s.Draining, s.Overloaded = now, true, false, false
	s.workSinceStart, s.overheadWork, s.coldArrivals, s.advancedTo = 0, 0, s.coldArrivals[:0], now
}

// Kill ends the process and returns the requests that it had.
func (s *Server) Kill(now time.Duration) []*Job {
	s.Advance(now)
	unfinished := append(s.running, s.queue...)
	s.running, s.queue, s.Alive, s.OpenConnections = nil, nil, false, 0
	return unfinished
}

// maxConnections returns how many connections the server accepts.
func (s *Server) maxConnections() int { return max(1, s.Kind.Cores*s.connectionsPerCore) }

// Connect opens a connection, if the limit allows it.
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

// recordColdWork counts work that reaches a server that warms up: more than a multiple of its capacity overloads it.
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

// Advance advances the server and returns the requests that ended, in order. The
// slice is valid until the next call.
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

// timeToFirstEnd returns the time until the first running request ends at a rate, at least a nanosecond.
func (s *Server) timeToFirstEnd(rate float64) time.Duration {
	shortest := math.Inf(1)
	for _, j := range s.running {
		shortest = min(shortest, j.remaining)
	}
	return max(1, time.Duration(math.Ceil(shortest/rate*1e9)))
}

// Never is later than any run.
const Never = time.Duration(math.MaxInt64)

// Next returns when Advance may have something to return.
func (s *Server) Next() time.Duration {
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

// Probe costs a little work and returns the last load report.
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
