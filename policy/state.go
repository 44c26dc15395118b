package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

type server struct {
	Endpoint
	inFlight            int           // this balancer's attempts there
	capacity            float64       // what it can do, on the scale of the weights
	effectiveWeight     float64       // in the pick under way: its weight, 0 where it can't take the request
	eligible            bool          // and whether it has a turn to give
	currentWeight       float64       // smooth weighted round robin: how much its turn is due
	answeredAt          time.Duration // its last answer, or restart
	reportedAt          time.Duration // it last reported its load; 0: never
	otherInFlight       float64       // and then held this many requests that are not ours
	objectiveUse        float64       // mean square of the share of the aim that its answers take, lately
	outsideSubset       bool          // not among this balancer's first choice
	unresponsive        bool          // it said nothing where it should have: probes, no requests
	zone                *zone         // what is known of its zone
	outlier             bool          // evidence was against it; it gets trials only
	consecutiveSlow     int           // answers from behind a queue since the last quick one
	ejectedUntil        time.Duration // and until then it gets no turn for them
	consecutiveFailures int           // evidence against it since its last answer
	suspected           bool          // and one failure that may be chance
	lastFailureAt       time.Duration // when it failed last
	recoveryAt          time.Duration // next trial
	warmAt              time.Duration // cold until then, by the list
	nextSlowStartSend   time.Duration // while cold: nothing more before this
}

type attemptState int

const (
	inFlight attemptState = iota
	mayHaveRun
	neverRan
)

type attempt struct {
	server *server
	sentAt time.Duration
	state  attemptState
}

type request struct {
	id               RequestID
	affinityKey      uint64 // what it concerns; 0: nothing known
	class            *class
	bulkhead         *bulkhead
	deadline         time.Duration // the client's
	shutdownDeadline time.Duration // the process has to be done by then; NoLimit: it serves on
	usefulUntil      time.Duration // an answer after this earns nothing
	objectiveAt      time.Duration // and after this not all
	attempts         []attempt
	inFlight         int
	streaming        bool // its answer streams: it is the client's now
	ended            bool // ended; kept until its attempts have ended too

	expectedWork time.Duration // expected; 0 where unknown
}

// bulkhead holds one tenant's slots and queue, walled off from the others'.
type bulkhead struct {
	slots, used, queuePlaces int
	reserved                 BulkheadCapacity // of them, to another process of this sidecar
	queue                    []*request
}

type class struct {
	Class
	usualLatency  time.Duration // usual time of an answer
	usualTimeLeft time.Duration // the time left that most requests come with
	usualVotes    int           // and how sure that is
}

// Balancer makes the decisions of one sidecar.
type Balancer struct {
	cfg                 Config
	host                Host
	rng                 *rand.Rand
	subsetSalt          uint64  // of its own order of servers
	subsetShare         float64 // the part of the balancers that keep to a server
	classes             []class
	bulkheads           []bulkhead
	requests            map[RequestID]*request
	openRequests        []*request         // in order of arrival; ended ones are swept out by Wake
	servers             []*server          // in the order in which the list named them
	totalSlots          int                // of all compartments
	configuredBulkheads []BulkheadCapacity // as configured, by tenant
	configuredAttempts  int                // at most, as configured
	configuredBalancers int                // as configured
	configuredProbing   bool               // as configured
	fleetLimits         FleetLimits        // the fleet's word
	handedOver          bool               // another process takes this one's place
	admittedShares      []float64          // the fleet's word on an overload, by tenant
	adviceUntil         time.Duration      // until when it counts
	expectedInFlight    float64            // what the slots of all balancers hold while traffic is at the quotas
	totalQuota          float64            // of all tenants together
	readyWeight         float64            // of all ready servers
	peakWeight          float64            // the most of it that there was, followed down
	peakAt              time.Duration
	healthyWeight       float64       // of those not judged unwell
	usualLatency        time.Duration // usual time of an answer, over all classes
	averageWork         float64       // expected of a request, on average
	averageObjective    float64       // mean aim, in seconds
	wakeAt              time.Duration
	pollAt              time.Duration // when to ask for the list next; 0: no need
	pollFailures        int
	staleSince          time.Duration // since when changes of the list may have been missed
	nextBulkhead        int
	twoProcesses        bool // another process of this sidecar lives
	lowTraffic          bool // own traffic tells too little of a server's load
	requestCount        int
	congestionSum       float64 // what answers took of their aims, added up over those of late
	congestionWeight    float64 // and how many they are
	congestionAt        time.Duration
	zones               map[int]*zone
	probeFrom           int           // where listen begins
	anyUnresponsive     bool          // a server or zone may be silent: listen looks at each
	cells               []cell        // of the pick under way
	weightClasses       []weightClass // what servers can do, by their listed weight
	counters            Counters
}

// firstPossibleRun returns the first attempt that may have run or still may, or nil.
func (r *request) firstPossibleRun() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.state != neverRan }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

// triedAt says whether a server has had this request already.
func (r *request) triedAt(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
}

// server returns the listed server of that name, or nil.
func (b *Balancer) server(id ServerID) *server {
	if i := slices.IndexFunc(b.servers, func(s *server) bool { return s.ID == id }); i >= 0 {
		return b.servers[i]
	}
	return nil
}

// peakWeightMemory is longer than servers are out for a trouble or a deploy.
const peakWeightMemory = time.Minute

// updateWeights adds up the weights of the ready servers and of those that are well. The most there was
// is forgotten slowly: while replacements overlap with what they replace there is too much.
func (b *Balancer) updateWeights(now time.Duration) {
	b.peakWeight = b.readyWeight + (b.peakWeight-b.readyWeight)*math.Exp(-float64(now-b.peakAt)/float64(peakWeightMemory))
	b.peakAt = now
	b.readyWeight, b.healthyWeight = 0, 0
	for _, s := range b.servers {
		if s.State == Ready {
			b.readyWeight += s.Weight
			if !s.outlier {
				b.healthyWeight += s.Weight
			}
		}
	}
	b.peakWeight = max(b.peakWeight, b.readyWeight)
}

// weightShare is a server's weightShare of a total by its weight in the fullest list there was.
func (b *Balancer) weightShare(total float64, s *server) float64 {
	return total * s.Weight / max(b.peakWeight, s.Weight)
}

// scheduleWake sees to it that Wake comes after d at the latest.
func (b *Balancer) scheduleWake(now, d time.Duration) {
	if b.wakeAt == 0 || now+d < b.wakeAt {
		b.wakeAt = now + d
		b.host.Wake(d)
	}
}
