// Package policy decides, for one client-side load balancer (a sidecar), when and to which server each
// request is sent, and when it is retried, refused or failed.
//
// A Balancer is single-threaded and deterministic: it has no goroutines, no clock and no I/O. The
// embedding program calls one method per event and passes the current time; the Balancer acts through
// the Host passed to New. This file contains the types of that interface, and policy.go handles the events.
// Each other file covers one concern; only permit.go decides whether an action is permitted now.
package policy

import "time"

// RequestID identifies a request. The host assigns the ids and never reuses one.
type RequestID uint64

// ServerID identifies a booking server. It does not change when the server restarts.
type ServerID uint64

// Idempotency specifies whether requests of a class may safely be repeated.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may be repeated and refused without restriction
	IdempotentByKey                    // servers drop repeats within the class's DedupScope and DedupWindow
	NonIdempotent                      // must not run more than once
)

// DedupScope is the group of servers that drop repeats of a request that is idempotent by key.
type DedupScope int

// The deduplication scopes.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Class configures one class of requests.
type Class struct {
	LatencyObjective    time.Duration // responses within this time have their full value
	ObjectiveWorkFactor float64       // the objective grows by this multiple of the request's expected work
	Deadline            time.Duration // the time that a client waits, over all its attempts
	LateShare           float64       // share of its value that a response after the objective still has
	PriorityWeight      float64       // value of a response relative to other classes
	Idempotency         Idempotency
	DedupScope          DedupScope    // only for IdempotentByKey
	DedupWindow         time.Duration // for IdempotentByKey: how long after the first send repeats are dropped
}

// Tenant configures a customer's share of the service.
type Tenant struct {
	Share float64 // share of the service, relative to the other tenants' shares
	Quota float64 // requests per second within its share, over all balancers; 0: unknown
}

// Config is the configuration of a Balancer.
type Config struct {
	Balancers int // number of balancers that send to the same servers, including this one
	Zone      int // the zone of this balancer
	Classes   []Class
	Tenants   []Tenant // if empty, there is one tenant, number 0

	Slots int // slots of this balancer over all bulkheads; 0: derived from quotas, objectives and servers

	MaxAttempts        int           // maximum number of attempts per request
	MayCancel          bool          // Host.Cancel may be used
	MayProbe           bool          // Host.Probe may be used
	LoadReports        bool          // probes return load reports
	MaxRetryAfter      time.Duration // the longest Retry-After that clients honour
	KeyAffinity        bool          // a server that has recently served a key needs less work for it
	ClientsMarkRetries bool          // clients mark their own retries: Request.ClientRetry

	EventPeriod time.Duration // minimum interval between deliveries of events

	PollList     bool          // the balancer must request the endpoint list itself
	PollDeadline time.Duration // after this time without a poll a change counts as notified; 0: unknown

	DrainGrace time.Duration // time within which sends to a draining or removed server must stop

	SlowStartFloor  float64       // minimum share of its capacity that a server has when it starts
	SlowStartWindow time.Duration // time after its start until a server has its full capacity
	OverloadFactor  float64       // a server that is warming up fails at this multiple of its current capacity

	CrossZoneCost float64 // cost of an attempt in another zone, relative to a priority weight of 1
}

// EndpointState is the state of a server in the endpoint list.
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
	Cell    int // servers of one cell share cached keys
	State   EndpointState
	Weight  float64       // nominal size, relative to the other servers' weights
	Started time.Duration // time of the last start; 0: long ago, no slow start applies
}

// ListKind specifies how to apply the entries of a list event.
type ListKind int

// The kinds of list events.
const (
	ListFull    ListKind = iota // all endpoints: absent ones were removed
	ListDelta                   // only the changed entries
	ListCached                  // all endpoints as last received, possibly outdated
	ListFailed                  // the call failed or the subscription ended; there are no entries
	ListFetched                 // all endpoints, in response to Host.FetchList: no subscription follows
)

// Request is a client's request.
type Request struct {
	ID           RequestID
	Class        int
	Tenant       int
	TimeLeft     time.Duration // until the client's timeout
	ShutdownIn   time.Duration // until this process must have responded; 0: it is not shutting down
	ExpectedWork time.Duration // 0: unknown
	AffinityKey  uint64        // requests with the same key use the same cached data; 0: none
	ClientRetry  bool          // marked by the client as its own retry
}

// Ending is the result of an attempt.
type Ending int

// The endings of an attempt. Rejected, NoConnection and NotSent prove that the request never ran. After
// Served it ran; after every other ending, including values not listed here, it may have run.
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

// Outcome reports that an attempt ended.
type Outcome struct {
	ID      RequestID
	Attempt int // index of the attempt, from 0 in the order of Host.Send for this request
	Ending  Ending
	Settled bool // the client has received a response or has disconnected
}

// LoadReport is a server's report of its load. Negative values are unknown.
type LoadReport struct {
	InFlight        float64 // requests that are running or queued at the server
	Queued          float64 // of those, the ones that are not running yet
	Utilization     float64 // share of its cores in use
	ServedPerSecond float64
}

// UnknownLoad is the LoadReport of a server that did not report its load.
var UnknownLoad = LoadReport{InFlight: -1, Queued: -1, Utilization: -1, ServedPerSecond: -1}

// Host executes the decisions of a Balancer. Its methods must not call the Balancer.
type Host interface {
	// Send starts the next attempt of a request, which times out after timeout. If start is not 0, an
	// attempt that cannot be written within start must not be sent, since a request that may have run
	// must not be repeated after its deduplication window.
	Send(id RequestID, to ServerID, timeout, start time.Duration)
	// Refuse answers a request that the client may safely repeat, and asks it to wait for the pause first.
	Refuse(id RequestID, pause time.Duration)
	// Fail answers a request with an error that does not say whether the request ran.
	Fail(id RequestID)
	// Cancel cancels one attempt. Its Outcome is still reported.
	Cancel(id RequestID, attempt int)
	// Wake schedules a call of Balancer.Wake after d.
	Wake(d time.Duration)
	// Probe requests a load report from a server. The result is passed to Balancer.Probed.
	Probe(to ServerID)
	// WatchList subscribes to the endpoint list. Its changes are passed to Balancer.List.
	WatchList()
	// FetchList requests the full endpoint list once and ends the subscription, if there is one. The list is
	// passed to Balancer.List as ListFetched. A host whose calls always subscribe may subscribe instead.
	FetchList()
}

// Counters count the decisions of a Balancer since it was created. The field names are metric labels and
// appear in logs.
type Counters struct {
	Ordinary uint64 `json:"Ordinary"` // attempts sent to the next server in the rotation
	Passed   uint64 `json:"Passed"`   // attempts for which an ineligible server was skipped
	Trials   uint64 `json:"Trials"`   // recovery attempts at outliers
	Shed     uint64 `json:"Shed"`     // requests refused on arrival because of load
	Retries  uint64 `json:"Retries"`  // attempts after the first of a request
	Refused  uint64 `json:"Refused"`
	Failed   uint64 `json:"Failed"`
}
