package sidecar

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"barleywick/internal/registry/client"
	"barleywick/internal/settings"
	"barleywick/internal/sidecar/config"
	"barleywick/internal/sidecar/gate"
	"barleywick/internal/sidecar/outcome"
	"barleywick/internal/sidecar/overloadreporter"
	"barleywick/internal/sidecar/policyfollower"
	"barleywick/internal/sidecar/upstream"
	"barleywick/policy"
)

// request is a client's request while it is held. The fields that go to an
// upstream are fixed before the loop sees it; the rest belongs to the loop.
type request struct {
	upstream.Request // as it goes to a server
	class            int
	tenant           int
	clientRetry      bool
	expectedWork     time.Duration // a guess at it; 0 where there is none
	affinityKey      uint64        // a hash of what it concerns; 0 where that is not said
	conn             *clientConn   // it came on; nil: none, as in tests
	receivedAt       time.Time     // when it came
	clientDeadline   time.Time     // when the client gives up
	processDeadline  time.Time     // the process has to have answered it by then; zero: it serves on
	result           chan response // takes the one answer; never blocks

	id           policy.RequestID
	closed       bool // answered, or the client has gone
	attempts     []*attempt
	inFlight     int  // attempts that have not ended
	lastTimedOut bool // the last attempt did
}

// deadline is until when it has to be answered: its client's time, or the process's.
func (r *request) deadline() time.Time {
	if !r.processDeadline.IsZero() && r.processDeadline.Before(r.clientDeadline) {
		return r.processDeadline
	}
	return r.clientDeadline
}

// processTimeLeft is how long the process may still take over it; 0: it serves on.
func (r *request) processTimeLeft() time.Duration {
	if r.processDeadline.IsZero() {
		return 0
	}
	return max(1, time.Until(r.processDeadline))
}

// The events that I/O goroutines send to the loop.
type (
	requestArrived     struct{ request *request }
	clientDisconnected struct{ request *request } // the client has gone
	attemptEnded       struct {
		attempt *attempt
		ending  policy.Ending
		answer  *upstream.Response // with Served
	}
	probeCompleted struct {
		probe *pendingProbe
		ok    bool
		load  policy.LoadReport
	}
	endpointsListed struct{ listing client.ListUpdate }
	listingLost     struct{ loss client.ListLoss }
	handoverStarted struct {
		held chan<- []policy.BulkheadCapacity
	} // a new process takes this one's place
	predecessorReported struct{ held []policy.BulkheadCapacity } // what the old one still holds
)

// pendingProbe is one pendingProbe that was asked for; its result waits for those before it.
type pendingProbe struct {
	endpoint *endpoint
	done     bool
	ok       bool
	load     policy.LoadReport
}

// endpoint is an upstream of the list.
type endpoint struct {
	id                policy.ServerID
	entry             client.Endpoint
	peer              *upstream.Server
	startedAt         time.Duration
	probes            []*pendingProbe // in the order the module asked for them
	inFlight          int             // attempts under way
	consecutiveSilent int             // that ended in silence, since one was answered
	drainingSince     time.Duration   // since when it drains; 0: it does not
}

// requestNames are the Request-Ids that are held. The loop alone changes them; the
// client side looks, so that it reads no body of a request that cannot be taken.
type requestNames struct {
	mu    sync.Mutex
	inUse map[string]bool
}

// reserve says whether a name was free, and holds it.
func (n *requestNames) reserve(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.inUse[name] {
		return false
	}
	n.inUse[name] = true
	return true
}

func (n *requestNames) release(name string) {
	n.mu.Lock()
	delete(n.inUse, name)
	n.mu.Unlock()
}

func (n *requestNames) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.inUse)
}

func (n *requestNames) isInUse(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inUse[name]
}

// eventLoop owns the Balancer: every event comes to it by a channel, and it carries
// out what the Balancer decides without ever waiting for I/O.
type eventLoop struct {
	config       *config.Config
	balancer     *policy.Balancer
	transport    *upstream.Transport
	gate         *gate.Gate
	events       chan any
	queued       []any // events that the loop makes itself
	ready        atomic.Bool
	pollRequests chan struct{} // the module wants to subscribe to the list

	lifetime    context.Context // ends with run, and attempts with it
	endLifetime context.CancelFunc
	tasks       sync.WaitGroup // attempts and probes under way

	traceRequests bool          // each attempt and answer goes to the log
	listUpdatedAt time.Duration // the last news of the list; 0: none yet

	adviceStatus   func() overloadreporter.Status // the fleet's on an overload; nil: it has none
	policyStatus   func() policyfollower.Status   // how it stands towards the fleet's policy; nil: there is none
	overloadCounts *overloadreporter.Counts       // of requests since the last digest; nil: nobody is told
	recordOutcome  func(outcome.Outcome)          // counts the end of a request; may be nil
	// activeConnections is how many client connections are open that may have something to say; nil: none.
	activeConnections func() int
	admits            func() bool // whether a new request may be taken; nil: any may

	exporter MetricsExporter // is told of each request; nil: nothing is measured

	reportUnresponsive func(host string) // tells the fleet of a server that does not answer; nil: nobody is told

	logOtherCounters func() // logs what else there is to tell with the module's counters; may be nil

	startedAt time.Time
	wallNow   func() time.Time // the machine's clock, which may be set
	now       time.Duration    // the module's clock at the event under way
	timer     *time.Timer
	wakeAt    time.Duration // when Wake is due; 0: not armed

	lastID         policy.RequestID
	requests       map[policy.RequestID]*request
	requestNames   requestNames
	lastEndpointID policy.ServerID
	endpoints      map[string]*endpoint
	endpointsByID  map[policy.ServerID]*endpoint
	zoneNumbers    map[string]int
	nextZone       int
}

const (
	eventBacklog     = 1024
	countersInterval = time.Minute
)

// newEventLoop makes a loop that lives from now on until run has ended.
func newEventLoop(c *config.Config, up *upstream.Transport, g *gate.Gate) (*eventLoop, error) {
	life, end := context.WithCancel(context.Background())
	l := &eventLoop{
		lifetime: life, endLifetime: end,
		config: c, transport: up, gate: g, startedAt: time.Now(), traceRequests: slog.Default().Enabled(life, slog.LevelDebug),
		wallNow: time.Now, events: make(chan any, eventBacklog), pollRequests: make(chan struct{}, 1), timer: time.NewTimer(time.Hour),
		requests: make(map[policy.RequestID]*request), requestNames: requestNames{inUse: make(map[string]bool)},
		endpoints: make(map[string]*endpoint), endpointsByID: make(map[policy.ServerID]*endpoint), zoneNumbers: make(map[string]int),
	}
	for i, z := range c.Zones {
		l.zoneNumbers[z] = i
	}
	l.nextZone = len(c.Zones)
	b, err := policy.New(c.Policy, c.Seed, l)
	if err != nil {
		end()
		return nil, err
	}
	l.balancer = b
	l.now = l.clock()
	b.Start(l.now)
	if c.KnownEndpoints != nil {
		l.applyListing(policy.ListCached, *c.KnownEndpoints)
	}
	return l, nil
}

// clock is the module's time: it runs monotonically and began at Unix time, so
// that an upstream's earlier start is a positive time on it. Counted from 0, an
// upstream that started before this process would pass for one of long ago, and
// the rule on cold upstreams would be lost.
func (l *eventLoop) clock() time.Duration {
	return time.Duration(l.startedAt.UnixNano()) + time.Since(l.startedAt)
}

// wallClockStep is by how much the wall clock has been set ahead since this process began.
func (l *eventLoop) wallClockStep() time.Duration {
	wall := time.Duration(l.wallNow().UnixNano())
	return wall - l.clock()
}

// post hands an event to the loop, and says whether the loop is there to take it.
func (l *eventLoop) post(e any) bool {
	select {
	case l.events <- e:
		return true
	case <-l.lifetime.Done():
		return false
	}
}

// releaseCapacity gives up what this process does not need any more, and returns what it
// keeps; nothing once the loop has ended.
func (l *eventLoop) releaseCapacity() []policy.BulkheadCapacity {
	held := make(chan []policy.BulkheadCapacity, 1)
	if !l.post(handoverStarted{held}) {
		return nil
	}
	select {
	case h := <-held:
		return h
	case <-l.lifetime.Done():
		return nil
	}
}

// expectedRequests is how many requests may come to this process although another takes its
// place: some are being read, or wait for this loop, as the listener is given away.
func (l *eventLoop) expectedRequests() int {
	if l.activeConnections == nil {
		return 0
	}
	return max(0, l.activeConnections()-l.requestNames.count())
}

// run handles events until ctx ends, and then ends all that is under way.
func (l *eventLoop) run(ctx context.Context) {
	defer l.tasks.Wait()
	defer l.endLifetime()
	logTick := time.NewTicker(countersInterval)
	defer logTick.Stop()
	for {
		select {
		case <-ctx.Done():
			l.logCounters()
			return
		case e := <-l.events:
			l.now = l.clock()
			l.handle(e)
		case <-l.timer.C:
			l.now = l.clock()
			l.wake()
		case <-logTick.C:
			l.logCounters()
		}
		for len(l.queued) > 0 {
			e := l.queued[0]
			l.queued = l.queued[1:]
			l.handle(e)
		}
	}
}

// logCounters says what was done so far.
func (l *eventLoop) logCounters() {
	slog.Info("counters", "counters", l.balancer.Counters())
	if l.logOtherCounters != nil {
		l.logOtherCounters()
	}
}

func (l *eventLoop) wake() {
	if l.wakeAt == 0 {
		return
	}
	if l.now < l.wakeAt { // the module would pass it over and never be woken again
		l.timer.Reset(l.wakeAt - l.now)
		return
	}
	l.wakeAt = 0
	l.balancer.Wake(l.now)
}

func (l *eventLoop) handle(e any) {
	switch e := e.(type) {
	case requestArrived:
		l.admitRequest(e.request)
	case clientDisconnected:
		if r := e.request; r.id != 0 && !r.closed {
			l.closeRequest(r)
			l.recordEnd(r, outcome.ClientVanished)
			l.balancer.ClientGone(l.now, r.id)
		}
	case attemptEnded:
		l.attemptEnded(e)
	case probeCompleted:
		p := e.probe
		p.done, p.ok, p.load = true, e.ok, e.load
		l.deliverProbes(p.endpoint)
	case endpointsListed:
		l.listUpdatedAt = l.now
		kind := policy.ListDelta
		if e.listing.Full {
			kind = policy.ListFull
		}
		l.applyListing(kind, e.listing)
	case listingLost:
		l.balancer.ListLost(l.now, policy.ListLoss(e.loss))
	case handoverStarted:
		e.held <- l.balancer.HandOver(l.expectedRequests())
	case predecessorReported:
		l.balancer.ReserveForPredecessor(l.now, e.held)
	case statusRequested:
		e.state <- l.status()
	case digestRequested:
		e.digest <- l.digest()
	case adviceReceived:
		l.balancer.Advise(l.now, e.advice)
	case sidecarCountChanged:
		l.balancer.SetFleetSize(e.sidecars)
	case fleetPolicyReceived:
		l.balancer.SetFleetLimits(l.now, e.rule)
		close(e.done)
	}
}

func (l *eventLoop) admitRequest(r *request) {
	// One id, one request: a second one under the same id might run its effect twice.
	if !l.requestNames.reserve(r.ID) {
		r.closed = true
		r.result <- response{status: http.StatusConflict}
		return
	}
	l.lastID++
	r.id = l.lastID
	l.requests[r.id] = r
	if l.overloadCounts != nil {
		l.overloadCounts.RequestArrived(r.tenant)
	}
	if !l.admitting() {
		l.Refuse(r.id, time.Duration(float64(noPolicyRetryAfter)*(0.5+rand.Float64())))
		return
	}
	l.balancer.Request(l.now, policy.Request{
		ID: r.id, Class: r.class, Tenant: r.tenant, ClientRetry: r.clientRetry, ExpectedWork: r.expectedWork, AffinityKey: r.affinityKey,
		TimeLeft: time.Until(r.clientDeadline), ShutdownIn: r.processTimeLeft(),
	})
}

// admitting says whether a new request admitting be taken.
func (l *eventLoop) admitting() bool { return l.admits == nil || l.admits() }

// closeRequest ends a request towards its client.
func (l *eventLoop) closeRequest(r *request) {
	r.closed = true
	l.requestNames.release(r.ID)
	for _, a := range r.attempts {
		a.CancelWrite() // what was not written yet is not to be: nobody waits for it
	}
	if r.inFlight == 0 {
		delete(l.requests, r.id)
	}
}

// answerRequest gives a request its one answer.
func (l *eventLoop) answerRequest(id policy.RequestID, a response) {
	if r := l.requests[id]; r != nil && !r.closed {
		l.closeRequest(r)
		r.result <- a
		o := outcome.Of(a.status, time.Since(r.receivedAt), l.config.Policy.Classes[r.class].LatencyObjective)
		if l.recordOutcome != nil {
			l.recordOutcome(o)
		}
		if l.overloadCounts != nil {
			l.overloadCounts.RequestEnded(r.tenant, o)
		}
		l.recordEnd(r, o)
	}
}

func (l *eventLoop) attemptEnded(e attemptEnded) {
	a, r := e.attempt, e.attempt.req
	r.inFlight--
	if h := a.host; h != nil {
		h.inFlight--
		l.noteSilence(h, e.ending)
		l.logDrained(h)
	}
	r.lastTimedOut = e.ending == policy.TimedOut
	l.traceAttempt(a, e.ending)
	if e.ending == policy.Served {
		l.answerRequest(r.id, response{status: http.StatusOK, header: e.answer.Header, body: e.answer.Body})
	}
	// Whatever the ending: an answer too late for its client would stay here for ever.
	if r.closed && r.inFlight == 0 {
		delete(l.requests, r.id)
	}
	l.balancer.Outcome(l.now, policy.Outcome{ID: r.id, Attempt: a.number, Ending: e.ending, Settled: r.closed})
}

// deliverProbes hands a host's probe results over in the order they were asked
// for, as the module matches them: a later one may be back first.
func (l *eventLoop) deliverProbes(h *endpoint) {
	for len(h.probes) > 0 && h.probes[0].done {
		p := h.probes[0]
		h.probes = h.probes[1:]
		if p.ok || h.drainingSince == 0 { // a probe that was not sent for the drain is no word against the host
			l.balancer.Probed(l.now, h.id, p.ok, p.load)
		}
	}
}

// applyListing takes news of the applyListing over and passes them to the module.
func (l *eventLoop) applyListing(kind policy.ListKind, news client.ListUpdate) {
	servers := make([]policy.Endpoint, 0, len(news.Endpoints))
	named := make(map[string]bool, len(news.Endpoints))
	for _, e := range news.Endpoints {
		if named[e.Host] && kind != policy.ListDelta {
			slog.Warn("discovery: host listed twice", "host", e.Host)
		}
		s, ok := l.enterEndpoint(e)
		if !ok && e.Health != "removed" {
			slog.Warn("discovery: entry passed over", "host", e.Host, "dial", e.Dial, "health", e.Health, "spoilt", e.Malformed)
			if h := l.endpoints[e.Host]; h != nil {
				s, ok = l.enterEndpoint(h.entry) // it stays as it was known
			}
		}
		if ok {
			named[e.Host] = true
			servers = append(servers, s)
		}
	}
	l.balancer.List(l.now, kind, servers)
	for _, h := range l.endpoints {
		l.updateDrain(h)
	}
	for name, h := range l.endpoints {
		if h.entry.Health == "removed" || (kind != policy.ListDelta && !named[name]) {
			delete(l.endpoints, name)
			delete(l.endpointsByID, h.id)
			l.transport.Pool().Retire(h.peer)
		}
	}
	l.forgetUnusedZones()
	if len(l.endpoints) > 0 || kind != policy.ListCached {
		l.ready.Store(true)
	}
}

// updateDrain puts into force what the list says of a host's updateDrain: nothing new goes
// there, what runs ends, and idle connections are closed; or all that is taken back.
func (l *eventLoop) updateDrain(h *endpoint) {
	drains := h.entry.Health != "up"
	switch {
	case drains && h.drainingSince == 0:
		h.drainingSince = l.now
		l.transport.Pool().Drain(h.peer)
		slog.Info("upstream drains", "host", h.entry.Host, "running", h.inFlight)
		l.logDrained(h)
	case !drains && h.drainingSince != 0:
		h.drainingSince = 0
		l.transport.Pool().Resume(h.peer)
		slog.Info("upstream's drain is called off", "host", h.entry.Host)
	}
}

// logDrained says when a host that drains has nothing of ours any more.
func (l *eventLoop) logDrained(h *endpoint) {
	if h.drainingSince != 0 && h.inFlight == 0 {
		slog.Info("upstream drained", "host", h.entry.Host, "after", l.now-h.drainingSince)
	}
}

// forgetUnusedZones lets go of the sites that the settings do not name and no host is at any more.
func (l *eventLoop) forgetUnusedZones() {
	if len(l.zoneNumbers) <= len(l.config.Zones)+len(l.endpoints) {
		return
	}
	used := make(map[string]bool, len(l.endpoints))
	for _, h := range l.endpoints {
		used[h.entry.Site] = true
	}
	maps.DeleteFunc(l.zoneNumbers, func(name string, number int) bool {
		return number >= len(l.config.Zones) && !used[name]
	})
}

// enterEndpoint takes one entry of the list over. A word for its health that is not
// known means nothing new, as draining does.
func (l *eventLoop) enterEndpoint(e client.Endpoint) (policy.Endpoint, bool) {
	if e.Host == "" || e.Malformed {
		return policy.Endpoint{}, false
	}
	h := l.endpoints[e.Host]
	if _, err := netip.ParseAddrPort(e.Dial); err != nil {
		if h == nil || e.Health == "up" {
			return policy.Endpoint{}, false
		}
		e.Dial = h.entry.Dial // it is to get nothing new: its address does not matter
	}
	if h == nil {
		l.lastEndpointID++
		h = &endpoint{id: l.lastEndpointID, peer: upstream.NewServer(e.Dial)}
		l.endpoints[e.Host], l.endpointsByID[h.id] = h, h
	} else if h.entry.Dial != e.Dial || h.entry.BornMS != e.BornMS { // what was open to it leads nowhere now
		l.transport.Pool().Retire(h.peer)
		h.peer, h.drainingSince = upstream.NewServer(e.Dial), 0
	}
	// A start ahead of this machine's clock would keep an upstream cold for too
	// long; it is taken for now, and stays so while the entry names the same start.
	if h.entry.BornMS != e.BornMS || h.startedAt == 0 {
		h.startedAt = policy.StartedAt(settings.DurationFromMillis(e.BornMS), l.now, l.wallClockStep())
	}
	h.entry = e
	site, ok := l.zoneNumbers[e.Site]
	if !ok {
		site = l.nextZone
		l.nextZone++
		l.zoneNumbers[e.Site] = site
	}
	s := policy.Endpoint{ID: h.id, Zone: site, Weight: e.Share, Started: h.startedAt, State: policy.Draining}
	if s.Cell = -int(h.id); e.Block != nil { // without a cell it shares its keys with no other
		s.Cell = *e.Block
	}
	switch e.Health {
	case "up":
		s.State = policy.Ready
	case "removed":
		s.State = policy.Removed
	}
	return s, true
}

// attempt is an attempt of a request, with what the loop keeps of it.
type attempt struct {
	upstream.Attempt
	req       *request
	number    int
	host      *endpoint // nil: it was never sent
	startedAt time.Time
}

// newAttempt returns the next attempt of a request, which is given up at giveUpAt. If repeatDeadline
// is not zero, its request is written before that or not at all.
func newAttempt(ctx context.Context, r *request, giveUpAt, repeatDeadline time.Time) *attempt {
	a := &attempt{
		Attempt: upstream.Attempt{Request: &r.Request, Deadline: r.deadline(), RepeatDeadline: repeatDeadline},
		req:     r, number: len(r.attempts), startedAt: time.Now(),
	}
	if r.conn != nil {
		a.Client = r.conn
	}
	a.Begin(ctx, giveUpAt)
	return a
}

// Send starts an attempt.
func (l *eventLoop) Send(id policy.RequestID, to policy.ServerID, timeout, start time.Duration) {
	r, h := l.requests[id], l.endpointsByID[to]
	if r == nil {
		return
	}
	until, startBy := r.deadline(), time.Time{}
	if timeout != 0 {
		if cut := time.Now().Add(timeout); cut.Before(until) {
			until = cut
		}
	}
	if start != 0 { // of the module's clock, which stands still in an event
		startBy = l.startedAt.Add(l.now + start - time.Duration(l.startedAt.UnixNano()))
	}
	a := newAttempt(l.lifetime, r, until, startBy)
	r.attempts = append(r.attempts, a)
	r.inFlight++
	if h == nil || r.closed {
		a.CancelWrite()
		a.Cancel()
		l.queued = append(l.queued, attemptEnded{attempt: a, ending: policy.NotSent})
		return
	}
	a.Server, a.host = h.peer, h
	h.inFlight++
	l.tasks.Go(func() {
		ending, ans := l.transport.Do(&a.Attempt)
		l.post(attemptEnded{a, ending, ans})
	})
}

// Refuse answers 503: trying again is harmless.
func (l *eventLoop) Refuse(id policy.RequestID, pause time.Duration) {
	l.answerRequest(id, response{status: http.StatusServiceUnavailable, retryAfter: pause})
}

// Fail answers without a promise: never with 429 or 503, which are refusals.
func (l *eventLoop) Fail(id policy.RequestID) {
	status := http.StatusBadGateway
	if r := l.requests[id]; r != nil && (r.lastTimedOut || r.inFlight > 0) { // time ran out, whoever noticed first
		status = http.StatusGatewayTimeout
	}
	l.answerRequest(id, response{status: status})
}

// Cancel gives an attempt up, which closes its connection.
func (l *eventLoop) Cancel(id policy.RequestID, number int) {
	if r := l.requests[id]; r != nil && number >= 0 && number < len(r.attempts) {
		r.attempts[number].Cancel()
	}
}

// Wake arms the one timer. The module asks again only for an earlier time.
func (l *eventLoop) Wake(d time.Duration) {
	l.wakeAt = l.now + d
	l.timer.Reset(d)
}

// Probe asks an upstream for its load.
func (l *eventLoop) Probe(to policy.ServerID) {
	h := l.endpointsByID[to]
	if h == nil {
		return
	}
	p := &pendingProbe{endpoint: h}
	h.probes = append(h.probes, p)
	peer := h.peer
	l.tasks.Go(func() {
		ok, load := l.transport.Probe(l.lifetime, peer)
		l.post(probeCompleted{p, ok, load})
	})
}

// WatchList subscribes to the list, where that is the module's to ask.
func (l *eventLoop) WatchList() {
	select {
	case l.pollRequests <- struct{}{}:
	default: // one is waiting already
	}
}
