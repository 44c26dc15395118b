// Package policy decides, for one client-side load balancer (a sidecar), when and where each
// request is sent, retried, refused or failed.
//
// A Balancer is single-threaded and deterministic: it has no goroutines, no clock and no I/O. The
// program that embeds it calls one method per event and passes the time; the Balancer acts through
// the Host it was given. This file holds the types of that interface and policy.go the events. Each
// other file holds one concern, and permit.go alone decides whether something may be done now.
package policy

import "time"

// RequestID identifies a request. The host chooses it and never uses one twice.
type RequestID uint64

// ServerID identifies a booking server. It stays the same when the server restarts.
type ServerID uint64

// Idempotency is what repeating a request of a class may do.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may be repeated and refused at will
	IdempotentByKey                    // repeats are dropped within the class's DedupScope and DedupWindow
	NonIdempotent                      // must never run twice
)

// DedupScope is the group of servers that drops repeats of a request that is idempotent by key.
type DedupScope int

// The deduplication scopes.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Class describes one kind of request.
type Class struct {
	LatencyObjective    time.Duration // answers within this time earn their full weight
	ObjectiveWorkFactor float64       // the objective grows by this multiple of the request's expected work
	Deadline            time.Duration // the time that a client waits, over all its attempts
	LateShare           float64       // share of the weight that an answer after the objective still earns
	PriorityWeight      float64       // what the class counts for against the others
	Idempotency         Idempotency
	DedupScope          DedupScope    // only for IdempotentByKey
	DedupWindow         time.Duration // only for IdempotentByKey: how long repeats are dropped, from the first send on
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Share float64 // share of the service, relative to the other tenants' shares
	Quota float64 // requests a second within its share, over all balancers; 0: unknown
}

// Config is the configuration of a Balancer.
type Config struct {
	Balancers int // number of balancers that send to the same servers, this one included
	Zone      int // the zone of this balancer
	Classes   []Class
	Tenants   []Tenant // if empty, there is one tenant, number 0

	Slots int // slots of this balancer over all bulkheads; 0: derived from the rest

	MaxAttempts        int           // attempts for one request
	MayCancel          bool          // Host.Cancel may be used
	MayProbe           bool          // Host.Probe may be used
	LoadReports        bool          // probes return load reports
	MaxRetryAfter      time.Duration // the longest Retry-After that clients heed
	KeyAffinity        bool          // a server that has met a key recently needs less work for it
	ClientsMarkRetries bool          // clients mark their own retries: Request.ClientRetry

	EventPeriod time.Duration // events arrive at most this often

	PollList     bool          // the balancer has to ask for the endpoint list
	PollDeadline time.Duration // after this long without a poll a change counts as notified; 0: unknown

	DrainGrace time.Duration // within this time sends to a draining or removed server have to stop

	SlowStartFloor  float64       // share of its capacity that a server has at least when it starts
	SlowStartWindow time.Duration // time after which it has all of its capacity
	OverloadFactor  float64       // a server that is warming up fails at this multiple of its present capacity

	CrossZoneCost float64 // cost of an attempt that leaves the zone, relative to a priority weight of 1
}

// EndpointState is what the endpoint list says about a server.
type EndpointState int

// The states of an endpoint.
const (
	Removed EndpointState = iota
	Draining
	Ready
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID      ServerID
	Zone    int
	Cell    int // servers of one cell share the keys that they have met
	State   EndpointState
	Weight  float64       // nominal size, relative to the other servers' weights
	Started time.Duration // time of the last start; 0: long ago
}

// ListKind says how the entries of a list event apply.
type ListKind int

// The kinds of list events.
const (
	ListFull   ListKind = iota // every endpoint: one that is absent was removed
	ListDelta                  // only the entries that changed
	ListCached                 // every endpoint as last known, possibly outdated
	ListFailed                 // the call failed or the subscription broke; there are no entries
)

// Request is a client's request.
type Request struct {
	ID           RequestID
	Class        int
	Tenant       int
	TimeLeft     time.Duration // until the client gives up
	ShutdownIn   time.Duration // until this process has to have answered; 0: it is not shutting down
	ExpectedWork time.Duration // 0: unknown
	AffinityKey  uint64        // requests with the same key concern the same thing; 0: none
	ClientRetry  bool          // known to be the client's own retry
}

// Ending says how an attempt ended.
type Ending int

// The endings of an attempt. Rejected, NoConnection and NotSent prove that the request never ran.
// After every other ending except Served it may have run, and also after a value not listed here.
const (
	Served Ending = iota
	Errored
	Rejected
	TimedOut
	NoConnection
	Broken
	Cancelled
	NotSent
)

// Outcome is the end of one attempt.
type Outcome struct {
	ID      RequestID
	Attempt int // numbered from 0 in the order of Host.Send for this request
	Ending  Ending
	Settled bool // the request has its answer, or its client has gone
}

// LoadReport is what a server reports about its load. A negative number is unknown.
type LoadReport struct {
	InFlight        float64 // requests that the server holds
	Queued          float64 // of those, the ones that have not begun
	Utilization     float64 // share of its cores in use
	ServedPerSecond float64
}

// UnknownLoad is the load of a server that reported none.
var UnknownLoad = LoadReport{InFlight: -1, Queued: -1, Utilization: -1, ServedPerSecond: -1}

// Host carries out what the Balancer decides. Its methods must not call back into the Balancer.
type Host interface {
	// Send starts the next attempt of a request and gives it up after timeout. If start is not 0, an
	// attempt that cannot begin within start must not be sent: a request that may have run may not
	// be repeated later.
	Send(id RequestID, to ServerID, timeout, start time.Duration)
	// Refuse ends a request that the client may safely repeat, preferably after the pause.
	Refuse(id RequestID, pause time.Duration)
	// Fail ends a request without any statement about whether it ran.
	Fail(id RequestID)
	// Cancel cancels one attempt, whose Outcome still follows.
	Cancel(id RequestID, attempt int)
	// Wake asks for a call of Balancer.Wake after d.
	Wake(d time.Duration)
	// Probe asks a server for a load report, which Balancer.Probed delivers.
	Probe(to ServerID)
	// WatchList subscribes to the endpoint list, whose changes Balancer.List delivers.
	WatchList()
}

// Counters count what a Balancer has done since it was made. The names of the fields are labels of
// a metric and appear in logs.
type Counters struct {
	Ordinary uint64 `json:"Ordinary"` // attempts sent to the server that was next in the rotation
	Passed   uint64 `json:"Passed"`   // attempts for which a server was passed over that was not eligible
	Trials   uint64 `json:"Trials"`   // recovery attempts at outliers
	Shed     uint64 `json:"Shed"`     // requests refused at once because of load
	Retries  uint64 `json:"Retries"`  // attempts after the first of a request
	Refused  uint64 `json:"Refused"`
	Failed   uint64 `json:"Failed"`
}
