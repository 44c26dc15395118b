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
	Key      uint64        // what it concerns; 0: nothing
	Repeat   uint64        // repeats with this number are dropped; 0: they run
	Window   time.Duration // for so long
	Deadline time.Duration // its client's
	Owner    any           // the caller's own

	Arrived time.Duration // at the server
	Begun   time.Duration // its turn came; 0: it has not
	Done    time.Duration
	Cold    bool // the server was cold when its turn came
	Failed  bool // it ended in an error
	Dropped bool // its time was up when its turn came: it never ran

	left  float64
	spent float64
	error bool
}

// Verdict is what becomes of a request that arrives.
type Verdict int

// Verdicts.
const (
	Taken  Verdict = iota // Advance gives it back when it has ended
	Away                  // turned away: full, or draining
	Nobody                // no process is there
)

// Report is what a server says of its load.
type Report struct{ Queue, Busy, Rate float64 }

// Server is a booking server. It has no clock: callers pass the time, which never
// goes back, and call Advance at Next. It is not safe for concurrent use.
type Server struct {
	Index    int
	Zone     int
	Cell     *Cell
	Kind     Kind
	Born     time.Duration // last start; 0: long ago
	Speed    float64       // of this machine
	Alive    bool          // its process runs
	Draining bool

	// What troubles do to it.
	Slow      float64 // times slower; 1: not
	Neighbour float64 // part of the machine that something else takes
	Failing   float64 // part of the requests that fail at once
	Silent    bool    // the machine is cut off from everybody

	Open    int // connections
	accepts int // connections for each core

	rng     *rand.Rand
	rules   Rules
	at      time.Duration
	running []*Job
	queue   []*Job
	debt    float64   // work for handshakes and probes, done before requests
	warmed  float64   // work done since the start
	ended   []*Job    // not given back yet
	given   []*Job    // by the last Advance
	recent  []arrival // at a cold server, within the time of the rule
	Fell    bool      // pushed over while cold

	reportAt time.Duration
	report   Report
	busy     float64 // core seconds, since the last report
	served   float64
}

type arrival struct {
	at   time.Duration
	work float64
}

// Cell is a few servers that share which keys they have met. Servers of one cell or
// zone may be used concurrently: what they share has locks of its own.
type Cell struct {
	Number int
	keys   *lru.Cache[uint64, time.Duration]
	zone   *repeats
	spec   Keys
}

// repeats are the keyed requests that a zone has met, each with when it was begun.
type repeats = lru.Cache[uint64, time.Duration]

// mostRepeats bounds what a zone remembers of keyed requests: more than come within a window.
const mostRepeats = 1 << 17

func newRepeats() *repeats {
	met, err := lru.New[uint64, time.Duration](mostRepeats)
	if err != nil {
		panic(err) // the size is a constant
	}
	return met
}

// NewCell makes a cell that remembers so many keys.
func newCell(number int, zone *repeats, spec Keys, cores int) *Cell {
	keys, err := lru.New[uint64, time.Duration](max(1, spec.PerCore*cores))
	if err != nil {
		panic(err) // the size is at least 1
	}
	return &Cell{Number: number, keys: keys, zone: zone, spec: spec}
}

// discount is the part of its work that a key costs here now, and notes the key.
func (c *Cell) discount(now time.Duration, key uint64) float64 {
	if key == 0 {
		return 1
	}
	at, met := c.keys.Get(key)
	c.keys.Add(key, now)
	if met && now-at <= time.Duration(c.spec.For) {
		return 1 - c.spec.Gain
	}
	return 1
}

const (
	coldStep   = 50 * time.Millisecond // how finely a cold server's capacity is followed
	probeWork  = 0.00014               // seconds of work that a probe costs
	repeatWork = 0.001                 // and a repeat that is dropped
	failWork   = 0.05                  // part of its work that a request has cost when it fails at once
	coldWork   = 0.6                   // a cold server is warm after this part of what it could have done meanwhile
	fallSlack  = 1.1                   // of the budget of a cold server, for chance
)

// warmth is the share of its capacity that the server has.
func (s *Server) warmth(now time.Duration) float64 {
	if s.Born == 0 || s.Kind.ColdFor == 0 {
		return 1
	}
	byTime := (now - s.Born).Seconds() / s.Kind.ColdFor.seconds()
	byWork := s.warmed / (coldWork * s.full() * s.Kind.ColdFor.seconds())
	return min(1, s.Kind.ColdFrom+(1-s.Kind.ColdFrom)*max(byTime, byWork))
}

// full is what the machine can do: seconds of work a second.
func (s *Server) full() float64 { return float64(s.Kind.Cores) * s.Speed }

// Capacity is what it can do now, cold or in trouble as it is.
func (s *Server) Capacity(now time.Duration) float64 {
	if !s.Alive || s.Fell {
		return 0
	}
	return s.full() * s.warmth(now) * s.factor()
}

// State is how many requests wait there, and the capacity that callers can use.
func (s *Server) State(now time.Duration) (waiting int, capacity float64) {
	if !s.Draining && !s.Silent {
		capacity = s.Capacity(now)
	}
	return len(s.queue), capacity
}

// Cold is what it can do now while it is cold, troubles apart; 0 once it is warm.
func (s *Server) Cold(now time.Duration) float64 {
	if w := s.warmth(now); w < 1 {
		return s.full() * w
	}
	return 0
}

// factor is what troubles, crowding and connections leave of the speed.
func (s *Server) factor() float64 {
	f := (1 - s.Neighbour) / max(1, s.Slow)
	if over := float64(len(s.running)+len(s.queue))/float64(s.Kind.Cores) - s.Kind.CrowdedAt; over > 0 && s.Kind.Crowding > 0 {
		f /= 1 + s.Kind.Crowding*over
	}
	return f * (1 - s.Kind.FullTax*float64(s.Open)/float64(max(1, s.most())))
}

// rate is how fast each running request goes on.
func (s *Server) rate() float64 {
	if len(s.running) == 0 {
		return 0
	}
	return s.Speed * s.warmth(s.at) * s.factor() * min(1, float64(s.Kind.Cores)/float64(len(s.running)))
}

// Start begins a process there, cold.
func (s *Server) Start(now time.Duration) {
	s.Born, s.Alive, s.Draining, s.Fell = now, true, false, false
	s.warmed, s.debt, s.recent, s.at = 0, 0, s.recent[:0], now
}

// Kill ends the process; what it held is given back.
func (s *Server) Kill(now time.Duration) []*Job {
	s.Advance(now)
	held := append(s.running, s.queue...)
	s.running, s.queue, s.Alive, s.Open = nil, nil, false, 0
	return held
}

// most is how many connections it accepts.
func (s *Server) most() int { return max(1, s.Kind.Cores*s.accepts) }

// Connect opens a connection, if there is room.
func (s *Server) Connect(handshake time.Duration) bool {
	if !s.Alive || s.Fell || s.Open >= s.most() {
		return false
	}
	s.Open++
	s.debt += handshake.Seconds()
	return true
}

// Arrive brings a request whose last byte has come. Advance must have been called for now.
func (s *Server) Arrive(now time.Duration, j *Job) Verdict {
	if !s.Alive || s.Fell {
		return Nobody
	}
	s.press(now, j.Work)
	if s.Fell {
		return Nobody
	}
	if s.Draining || (len(s.running) >= s.slots() && len(s.queue) >= s.Kind.Room*s.Kind.Cores) {
		return Away
	}
	j.Arrived = now
	s.queue = append(s.queue, j)
	s.begin()
	return Taken
}

func (s *Server) slots() int { return s.Kind.Slots * s.Kind.Cores }

// press counts work that reaches a cold server: more than a multiple of what it can do pushes it over.
func (s *Server) press(now time.Duration, work float64) {
	if s.warmth(now) >= 1 {
		s.recent = s.recent[:0]
		return
	}
	n := 0
	for n < len(s.recent) && s.recent[n].at <= now-time.Duration(s.rules.FallTime) {
		n++
	}
	s.recent = append(s.recent[n:], arrival{now, work})
	sum := 0.0
	for _, a := range s.recent {
		sum += a.work
	}
	if sum > fallSlack*s.rules.FallMultiple*s.full()*s.warmth(now)*s.rules.FallTime.seconds() {
		s.Fell = true
	}
}

// begin gives free slots to what waits.
func (s *Server) begin() {
	for len(s.running) < s.slots() && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if s.Kind.DropsLate && s.at >= j.Deadline {
			j.Dropped = true
			s.ended = append(s.ended, j)
			continue
		}
		j.Begun, j.Cold = s.at, s.warmth(s.at) < 1
		j.left = j.Work * s.Cell.discount(s.at, j.Key)
		if j.Repeat != 0 {
			if at, met := s.Cell.zone.Get(j.Repeat); met && s.at-at < j.Window {
				j.left = min(j.left, repeatWork)
			} else {
				s.Cell.zone.Add(j.Repeat, s.at)
			}
		}
		if s.rng.Float64() < max(s.Failing, s.Kind.Errors) {
			j.error = true
			j.left *= failWork
		}
		j.spent = j.left
		j.left += s.debt
		s.debt = 0
		s.running = append(s.running, j)
	}
}

// Advance lets time pass and gives back the requests that ended, in order. The
// slice is good until the next call.
func (s *Server) Advance(now time.Duration) []*Job {
	s.begin()
	for s.at < now {
		until := now
		rate := s.rate()
		if s.warmth(s.at) < 1 {
			until = min(until, s.at+coldStep)
		}
		if rate > 0 {
			until = min(until, s.at+s.first(rate))
		}
		dt := (until - s.at).Seconds()
		s.at = until
		if len(s.running) == 0 {
			s.debt = max(0, s.debt-dt*s.full())
			if s.warmth(s.at) >= 1 {
				s.at = now
			}
			continue
		}
		s.busy += dt * float64(min(len(s.running), s.Kind.Cores))
		kept := s.running[:0]
		for _, j := range s.running {
			j.left -= rate * dt
			s.warmed += rate * dt
			if j.left > 1e-9 {
				kept = append(kept, j)
				continue
			}
			j.Failed, j.Done = j.error, s.at
			s.served++
			s.ended = append(s.ended, j)
		}
		clear(s.running[len(kept):])
		s.running = kept
		s.begin()
	}
	s.given, s.ended = s.ended, s.given[:0]
	return s.given
}

// first is the time until the first running request ends at a rate, at least a nanosecond.
func (s *Server) first(rate float64) time.Duration {
	least := math.Inf(1)
	for _, j := range s.running {
		least = min(least, j.left)
	}
	return max(1, time.Duration(math.Ceil(least/rate*1e9)))
}

// Never is later than any day.
const Never = time.Duration(math.MaxInt64)

// Next is when Advance may have something to give back.
func (s *Server) Next() time.Duration {
	if len(s.ended) > 0 {
		return s.at
	}
	rate := s.rate()
	if rate <= 0 {
		return Never
	}
	d := s.first(rate)
	if s.warmth(s.at) < 1 {
		d = min(d, coldStep)
	}
	return s.at + d
}

// Probe costs a little and tells the load as of the last report.
func (s *Server) Probe(now time.Duration) Report {
	s.debt += probeWork
	if passed := now - s.reportAt; passed >= time.Duration(s.Kind.Report) {
		noise := func() float64 { return 1 + s.Kind.Noise*s.rng.NormFloat64() }
		s.report = Report{
			Queue: math.Max(0, math.Round(float64(len(s.queue))*noise())),
			Busy:  min(1, max(0, s.busy/passed.Seconds()/float64(s.Kind.Cores)*noise())),
			Rate:  max(0, s.served/passed.Seconds()*noise()),
		}
		s.reportAt, s.busy, s.served = now, 0, 0
	}
	return s.report
}
