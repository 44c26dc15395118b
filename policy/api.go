// Package policy decides, for one client-side load balancer (a sidecar), when
// and where each request is sent, sent again, refused or failed.
//
// A Balancer is single-threaded and deterministic: it has no goroutines, no
// clock and no I/O. The program that embeds it calls one method per event and
// passes the time; the Balancer answers through the Host it was given. This
// file is the interface; the decisions are in policy.go and health.go.
package policy

import "time"

// RequestID names a request; the host picks it and never uses one twice.
type RequestID uint64

// ServerID names a server; it stays the same when the server restarts.
type ServerID uint64

// Idempotency says what repeating a request of a class may do.
type Idempotency int

// The effects of a class.
const (
	Idempotent      Idempotency = iota // may be repeated and refused at will
	IdempotentByKey                    // repeats are dropped within a group of servers, for a while
	NonIdempotent                      // must never run twice
)

// DedupScope is the group of servers that drops repeats of a keyed request.
type DedupScope int

// The scopes of a keyed class.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Class describes one kind of request.
type Class struct {
	LatencyObjective    time.Duration // answers within this earn full worth
	ObjectiveWorkFactor float64       // the aim grows by this multiple of the request's expected work
	Deadline            time.Duration // the client's whole wait, over all its tries
	LateShare           float64       // share of the worth that an answer after the aim still earns
	PriorityWeight      float64
	Idempotency         Idempotency
	DedupScope          DedupScope    // keyed only
	DedupWindow         time.Duration // keyed only: how long repeats are dropped, from the first send on
}

// Tenant is one customer with a share of the service.
type Tenant struct {
	Share float64 // share of the service, set against the other tenants' shares
	Quota float64 // requests a second within its share over all balancers; 0 where unknown
}

// Config holds the settings a Balancer starts with; it does not change them.
type Config struct {
	Balancers int // balancers that send to the same servers, this one included
	Zone      int // the zone this balancer is in
	Classes   []Class
	Tenants   []Tenant // may be empty: then there is one, number 0

	Slots int // slots of this balancer over all compartments; 0 derives them from the rest

	MaxAttempts        int           // attempts for one request at most
	MayCancel          bool          // Host.Cancel may be used
	MayProbe           bool          // Host.Probe may be used
	LoadReports        bool          // probes bring load reports
	MaxRetryAfter      time.Duration // the longest pause that clients heed
	KeyAffinity        bool          // a server that met a key lately needs less work for it
	ClientsMarkRetries bool          // clients mark their own further tries: Request.Repeat

	EventPeriod time.Duration // events come at most this often

	PollList     bool          // the server list must be asked for
	PollDeadline time.Duration // without asking this long, a change counts as told; 0: not known

	DrainGrace time.Duration // in which sends to a server that drains or is gone have to stop

	SlowStartFloor  float64       // a server starts with at least this share of its capacity
	SlowStartWindow time.Duration // and has all of it after this
	OverloadFactor  float64       // sent more than this multiple of what it can do at that moment, it falls over

	CrossZoneCost float64 // price of an attempt that leaves the zone, against a worth of 1
}

// EndpointState is what the server list says of a server.
type EndpointState int

// The states of a server.
const (
	Removed EndpointState = iota
	Draining
	Ready
)

// Endpoint is one entry of the server list.
type Endpoint struct {
	ID      ServerID
	Zone    int
	Cell    int // servers of one cell share the keys they have seen
	State   EndpointState
	Weight  float64       // nominal size, set against the other servers' weights
	Started time.Duration // time of its last start; 0 means long ago
}

// ListKind says how the entries of a list event apply.
type ListKind int

// The kinds of list events.
const (
	ListFull   ListKind = iota // all servers; one that is absent has left
	ListDelta                  // only changed entries
	ListCached                 // all servers as last known, maybe old
	ListFailed                 // the call failed or the subscription broke; no entries
)

// Request is one client request.
type Request struct {
	ID           RequestID
	Class        int
	Tenant       int
	TimeLeft     time.Duration // until the client gives up
	ShutdownIn   time.Duration // until this process has to have answered it; 0: it serves on
	ExpectedWork time.Duration // expected work; 0 where unknown
	AffinityKey  uint64        // what it concerns; requests of one key belong together; 0: none
	ClientRetry  bool          // known to be a client's own further try
}

// Ending says how an attempt ended.
type Ending int

// The endings of an attempt. Rejected, NoConnection and NotSent prove that
// it never ran; every other one but Served means that it may have run, and so
// does a value not listed here.
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
	Settled bool // the request is over; nothing more is owed for it
}

// LoadReport is what a server reports of itself. A negative number is unknown.
type LoadReport struct {
	InFlight        float64 // requests it holds
	Queued          float64 // of those, the ones that have not begun
	Utilization     float64 // share of its cores in use
	ServedPerSecond float64 // requests it serves a second
}

// UnknownLoad is the load of a server that reported none.
var UnknownLoad = LoadReport{InFlight: -1, Queued: -1, Utilization: -1, ServedPerSecond: -1}

// Host carries out what the Balancer decides. Its methods must not call back
// into the Balancer.
type Host interface {
	// Send starts the next attempt of a request, given up after timeout. One that cannot
	// begin within start is not sent: what may have run may be repeated no later. 0: no such bound.
	Send(id RequestID, to ServerID, timeout, start time.Duration)
	// Refuse ends a request; trying again is harmless, best after the pause.
	Refuse(id RequestID, pause time.Duration)
	// Fail ends a request with no promise about its effect.
	Fail(id RequestID)
	// Cancel calls off one attempt; its Outcome still comes.
	Cancel(id RequestID, attempt int)
	// Wake asks for a call of Balancer.Wake after d.
	Wake(d time.Duration)
	// Probe asks a server for a load report; Balancer.Probed brings it.
	Probe(to ServerID)
	// WatchList subscribes to the server list; Balancer.List brings changes.
	WatchList()
}

// Counters tell what a Balancer did since it was made.
type Counters struct {
	Ordinary uint64 `json:"Ordinary"` // turns given by the ordinary path: a slot, and the server whose turn it was
	Passed   uint64 `json:"Passed"`   // turns moved on past a server that held its portion or was judged unwell
	Trials   uint64 `json:"Trials"`   // turns of a server judged unwell
	Shed     uint64 `json:"Shed"`     // requests refused at once: late already, while servers rest
	Retries  uint64 `json:"Retries"`  // further attempts after one that failed
	Refused  uint64 `json:"Refused"`
	Failed   uint64 `json:"Failed"`
}
