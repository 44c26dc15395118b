package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

type server struct {
	Endpoint
	out      int           // this balancer's attempts there
	size     float64       // what it can do, on the scale of the weights
	weighs   float64       // in the pick under way: its weight, 0 where it can't take the request
	turnable bool          // and whether it has a turn to give
	turn     float64       // smooth weighted round robin: how much its turn is due
	heard    time.Duration // its last answer, or restart
	toldAt   time.Duration // it last reported its load; 0: never
	others   float64       // and then held this many requests that are not ours
	used     float64       // mean square of the share of the aim that its answers take, lately
	spare    bool          // not among this balancer's first choice
	silent   bool          // it said nothing where it should have: probes, no requests
	in       *zone         // what is known of its zone
	unwell   bool          // evidence was against it; it gets trials only
	slow     int           // answers from behind a queue since the last quick one
	restTill time.Duration // and until then it gets no turn for them
	strikes  int           // evidence against it since its last answer
	doubted  bool          // and one failure that may be chance
	brokeAt  time.Duration // when it failed last
	trialAt  time.Duration // next trial
	warmAt   time.Duration // cold until then, by the list
	coldAt   time.Duration // while cold: nothing more before this
}

type attemptState int

const (
	inFlight attemptState = iota
	mayHaveRun
	neverRan
)

type attempt struct {
	to    *server
	sent  time.Duration
	state attemptState
}

type request struct {
	id       RequestID
	key      uint64 // what it concerns; 0: nothing known
	class    *class
	home     *compartment
	deadline time.Duration // the client's
	stopBy   time.Duration // the process has to be done by then; NoLimit: it serves on
	useful   time.Duration // an answer after this earns nothing
	aimAt    time.Duration // and after this not all
	attempts []attempt
	out      int
	begun    bool // its answer streams: it is the client's now
	over     bool // ended; kept until its attempts have ended too

	work time.Duration // expected; 0 where unknown
}

// compartment holds one tenant's slots and queue, walled off from the others'.
type compartment struct {
	slots, used, places int
	lent                BulkheadCapacity // of them, to another process of this sidecar
	queue               []*request
}

type class struct {
	Class
	pace  time.Duration // usual time of an answer
	usual time.Duration // the time left that most requests come with
	votes int           // and how sure that is
}

// Balancer makes the decisions of one sidecar.
type Balancer struct {
	cfg         Config
	host        Host
	rng         *rand.Rand
	salt        uint64  // of its own order of servers
	users       float64 // the part of the balancers that keep to a server
	classes     []class
	parts       []compartment
	requests    map[RequestID]*request
	open        []*request         // in order of arrival; ended ones are swept out by Wake
	servers     []*server          // in the order in which the list named them
	slots       int                // of all compartments
	walls       []BulkheadCapacity // as configured, by tenant
	attempts    int                // at most, as configured
	balancers   int                // as configured
	probing     bool               // as configured
	rule        FleetLimits        // the fleet's word
	leaving     bool               // another process takes this one's place
	advice      []float64          // the fleet's word on an overload, by tenant
	advisedTill time.Duration      // until when it counts
	mean        float64            // what the slots of all balancers hold while traffic is at the quotas
	quota       float64            // of all tenants together
	weight      float64            // of all ready servers
	full        float64            // the most of it that there was, followed down
	fullAt      time.Duration
	well        float64       // of those not judged unwell
	pace        time.Duration // usual time of an answer, over all classes
	work        float64       // expected of a request, on average
	aim         float64       // mean aim, in seconds
	wakeAt      time.Duration
	askAt       time.Duration // when to ask for the list next; 0: no need
	askFails    int
	lostAt      time.Duration // since when changes of the list may have been missed
	feedFrom    int
	shared      bool // another process of this sidecar lives
	thin        bool // own traffic tells too little of a server's load
	probes      int
	waits       float64 // what answers took of their aims, added up over those of late
	answers     float64 // and how many they are
	waitsAt     time.Duration
	zones       map[int]*zone
	listenFrom  int    // where listen begins
	hush        bool   // a server or zone may be silent: listen looks at each
	cells       []cell // of the pick under way
	sizes       []size // what servers can do, by their listed weight
	count       Counters
}

// ran returns the first attempt that may have run or still may, or nil.
func (r *request) ran() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.state != neverRan }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

// tried says whether a server has had this request already.
func (r *request) tried(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.to == s })
}

// server returns the listed server of that name, or nil.
func (b *Balancer) server(id ServerID) *server {
	if i := slices.IndexFunc(b.servers, func(s *server) bool { return s.ID == id }); i >= 0 {
		return b.servers[i]
	}
	return nil
}

// fullMemory is longer than servers are out for a trouble or a deploy.
const fullMemory = time.Minute

// weigh adds up the weights of the ready servers and of those that are well. The most there was
// is forgotten slowly: while replacements overlap with what they replace there is too much.
func (b *Balancer) weigh(now time.Duration) {
	b.full = b.weight + (b.full-b.weight)*math.Exp(-float64(now-b.fullAt)/float64(fullMemory))
	b.fullAt = now
	b.weight, b.well = 0, 0
	for _, s := range b.servers {
		if s.State == Ready {
			b.weight += s.Weight
			if !s.unwell {
				b.well += s.Weight
			}
		}
	}
	b.full = max(b.full, b.weight)
}

// part is a server's part of a total by its weight in the fullest list there was.
func (b *Balancer) part(total float64, s *server) float64 {
	return total * s.Weight / max(b.full, s.Weight)
}

// wake sees to it that Wake comes after d at the latest.
func (b *Balancer) wake(now, d time.Duration) {
	if b.wakeAt == 0 || now+d < b.wakeAt {
		b.wakeAt = now + d
		b.host.Wake(d)
	}
}
