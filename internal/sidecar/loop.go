package sidecar

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"barleywick/internal/overload"
	"barleywick/internal/registry/client"
	"barleywick/internal/settings"
	"barleywick/policy"
)

// request is a client's request while it is held. The fields that go to an
// upstream are fixed before the loop sees it; the rest belongs to the loop.
type request struct {
	name   string // the client's Request-Id
	class  int
	tenant int
	repeat bool
	work   time.Duration // a guess at it; 0 where there is none
	key    uint64        // a hash of what it concerns; 0 where that is not said
	conn   *clientConn   // it came on; nil: none, as in tests
	began  time.Time     // when it came
	until  time.Time     // when the client gives up
	stopBy time.Time     // the process has to have answered it by then; zero: it serves on
	method string
	url    *url.URL
	host   string
	header http.Header
	body   []byte
	answer chan response // takes the one answer; never blocks

	id       policy.RequestID
	over     bool // answered, or the client has gone
	attempts []*attempt
	out      int  // attempts that have not ended
	timedOut bool // the last attempt did
}

// answerBy is until when it has to be answered: its client's time, or the process's.
func (r *request) answerBy() time.Time {
	if !r.stopBy.IsZero() && r.stopBy.Before(r.until) {
		return r.stopBy
	}
	return r.until
}

// stopIn is how long the process may still take over it; 0: it serves on.
func (r *request) stopIn() time.Duration {
	if r.stopBy.IsZero() {
		return 0
	}
	return max(1, time.Until(r.stopBy))
}

// left says whether its client has closed the connection by now.
func (r *request) left() bool { return r.conn != nil && r.conn.closedByClient() }

// The events that I/O goroutines send to the loop.
type (
	arrived struct{ req *request }
	left    struct{ req *request } // the client has gone
	ended   struct {
		attempt *attempt
		ending  policy.Ending
		answer  *response // with Served
	}
	probed struct {
		probe *probe
		ok    bool
		load  policy.LoadReport
	}
	listed     struct{ news client.ListUpdate }
	listFailed struct{ loss client.ListLoss }
	leaving    struct {
		held chan<- []policy.BulkheadCapacity
	} // a new process takes this one's place
	beside struct{ held []policy.BulkheadCapacity } // what the old one still holds
)

// probe is one probe that was asked for; its result waits for those before it.
type probe struct {
	host *host
	done bool
	ok   bool
	load policy.LoadReport
}

// host is an upstream of the list.
type host struct {
	id      policy.ServerID
	entry   client.Endpoint
	peer    *upstreamServer
	started time.Duration
	probes  []*probe      // in the order the module asked for them
	out     int           // attempts under way
	quiet   int           // that ended in silence, since one was answered
	drainAt time.Duration // since when it drains; 0: it does not
}

// names are the Request-Ids that are held. The loop alone changes them; the
// client side looks, so that it reads no body of a request that cannot be taken.
type names struct {
	mu   sync.Mutex
	held map[string]bool
}

// claim says whether a name was free, and holds it.
func (n *names) claim(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.held[name] {
		return false
	}
	n.held[name] = true
	return true
}

func (n *names) free(name string) {
	n.mu.Lock()
	delete(n.held, name)
	n.mu.Unlock()
}

func (n *names) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.held)
}

func (n *names) has(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.held[name]
}

// loop owns the Balancer: every event comes to it by a channel, and it carries
// out what the Balancer decides without ever waiting for I/O.
type loop struct {
	config *Config
	b      *policy.Balancer
	up     *transport
	events chan any
	local  []any // events that the loop makes itself
	ready  atomic.Bool
	asks   chan struct{} // the module wants to subscribe to the list

	life  context.Context // ends with run, and attempts with it
	end   context.CancelFunc
	tasks sync.WaitGroup // attempts and probes under way

	trace   bool          // each attempt and answer goes to the log
	heardAt time.Duration // the last news of the list; 0: none yet

	word   func() OverloadAdviceStatus               // the fleet's on an overload; nil: it has none
	policy func() FleetPolicyStatus                  // how it stands towards the fleet's policy; nil: there is none
	tally  []overload.TenantCounts                   // what came of requests since the last digest, by tenant; nil: nobody is told
	note   func(status int, took, aim time.Duration) // counts the end of a request; may be nil
	// speaking is how many client connections are open that may have something to say; nil: none.
	speaking func() int
	gate     func() bool // whether a new request may be taken; nil: any may

	silent func(host string) // tells the fleet of a server that does not answer; nil: nobody is told

	report func() // logs what else there is to tell with the module's counters; may be nil

	begin   time.Time
	wallNow func() time.Time // the machine's clock, which may be set
	now     time.Duration    // the module's clock at the event under way
	timer   *time.Timer
	dueAt   time.Duration // when Wake is due; 0: not armed

	lastID   policy.RequestID
	requests map[policy.RequestID]*request
	names    names
	lastHost policy.ServerID
	hosts    map[string]*host
	byID     map[policy.ServerID]*host
	sites    map[string]int
	nextSite int
}

const (
	eventBacklog = 1024
	logEvery     = time.Minute
)

// newLoop makes a loop that lives from now on until run has ended.
func newLoop(c *Config, up *transport) (*loop, error) {
	life, end := context.WithCancel(context.Background())
	l := &loop{
		life: life, end: end,
		config: c, up: up, begin: time.Now(), trace: slog.Default().Enabled(life, slog.LevelDebug),
		wallNow: time.Now, events: make(chan any, eventBacklog), asks: make(chan struct{}, 1), timer: time.NewTimer(time.Hour),
		requests: make(map[policy.RequestID]*request), names: names{held: make(map[string]bool)},
		hosts: make(map[string]*host), byID: make(map[policy.ServerID]*host), sites: make(map[string]int),
	}
	for i, z := range c.Zones {
		l.sites[z] = i
	}
	l.nextSite = len(c.Zones)
	b, err := policy.New(c.Policy, c.Seed, l)
	if err != nil {
		end()
		return nil, err
	}
	l.b = b
	l.now = l.clock()
	b.Start(l.now)
	if c.Known != nil {
		l.list(policy.ListCached, *c.Known)
	}
	return l, nil
}

// clock is the module's time: it runs monotonically and began at Unix time, so
// that an upstream's earlier start is a positive time on it. Counted from 0, an
// upstream that started before this process would pass for one of long ago, and
// the rule on cold upstreams would be lost.
func (l *loop) clock() time.Duration {
	return time.Duration(l.begin.UnixNano()) + time.Since(l.begin)
}

// wallStep is by how much the wall clock has been set ahead since this process began.
func (l *loop) wallStep() time.Duration {
	wall := time.Duration(l.wallNow().UnixNano())
	return wall - l.clock()
}

// post hands an event to the loop, and says whether the loop is there to take it.
func (l *loop) post(e any) bool {
	select {
	case l.events <- e:
		return true
	case <-l.life.Done():
		return false
	}
}

// leave gives up what this process does not need any more, and returns what it
// keeps; nothing once the loop has ended.
func (l *loop) leave() []policy.BulkheadCapacity {
	held := make(chan []policy.BulkheadCapacity, 1)
	if !l.post(leaving{held}) {
		return nil
	}
	select {
	case h := <-held:
		return h
	case <-l.life.Done():
		return nil
	}
}

// stillComing is how many requests may come to this process although another takes its
// place: some are being read, or wait for this loop, as the listener is given away.
func (l *loop) stillComing() int {
	if l.speaking == nil {
		return 0
	}
	return max(0, l.speaking()-l.names.count())
}

// run handles events until ctx ends, and then ends all that is under way.
func (l *loop) run(ctx context.Context) {
	defer l.tasks.Wait()
	defer l.end()
	logTick := time.NewTicker(logEvery)
	defer logTick.Stop()
	for {
		select {
		case <-ctx.Done():
			l.log()
			return
		case e := <-l.events:
			l.now = l.clock()
			l.handle(e)
		case <-l.timer.C:
			l.now = l.clock()
			l.wake()
		case <-logTick.C:
			l.log()
		}
		for len(l.local) > 0 {
			e := l.local[0]
			l.local = l.local[1:]
			l.handle(e)
		}
	}
}

// log says what was done so far.
func (l *loop) log() {
	slog.Info("counters", "counters", l.b.Counters())
	if l.report != nil {
		l.report()
	}
}

func (l *loop) wake() {
	if l.dueAt == 0 {
		return
	}
	if l.now < l.dueAt { // the module would pass it over and never be woken again
		l.timer.Reset(l.dueAt - l.now)
		return
	}
	l.dueAt = 0
	l.b.Wake(l.now)
}

func (l *loop) handle(e any) {
	switch e := e.(type) {
	case arrived:
		l.arrive(e.req)
	case left:
		if r := e.req; r.id != 0 && !r.over {
			l.close(r)
			l.told(r, outcomeLeft)
			l.b.ClientGone(l.now, r.id)
		}
	case ended:
		l.attemptEnded(e)
	case probed:
		p := e.probe
		p.done, p.ok, p.load = true, e.ok, e.load
		l.probesDone(p.host)
	case listed:
		l.heardAt = l.now
		kind := policy.ListDelta
		if e.news.Full {
			kind = policy.ListFull
		}
		l.list(kind, e.news)
	case listFailed:
		l.b.ListLost(l.now, policy.ListLoss(e.loss))
	case leaving:
		e.held <- l.b.HandOver(l.stillComing())
	case beside:
		l.b.ReserveForPredecessor(l.now, e.held)
	case asked:
		e.state <- l.stand()
	case digested:
		e.digest <- l.digest()
	case advised:
		l.b.Advise(l.now, e.advice)
	case numbered:
		l.b.SetFleetSize(e.sidecars)
	case ruled:
		l.b.SetFleetLimits(l.now, e.rule)
		close(e.done)
	}
}

func (l *loop) arrive(r *request) {
	// One id, one request: a second one under the same id might run its effect twice.
	if !l.names.claim(r.name) {
		r.over = true
		r.answer <- response{status: http.StatusConflict}
		return
	}
	l.lastID++
	r.id = l.lastID
	l.requests[r.id] = r
	if l.tally != nil {
		l.tally[r.tenant].Requests++
	}
	if !l.may() {
		l.Refuse(r.id, time.Duration(float64(ungovernedPause)*(0.5+rand.Float64())))
		return
	}
	l.b.Request(l.now, policy.Request{
		ID: r.id, Class: r.class, Tenant: r.tenant, ClientRetry: r.repeat, ExpectedWork: r.work, AffinityKey: r.key,
		TimeLeft: time.Until(r.until), ShutdownIn: r.stopIn(),
	})
}

// may says whether a new request may be taken.
func (l *loop) may() bool { return l.gate == nil || l.gate() }

// close ends a request towards its client.
func (l *loop) close(r *request) {
	r.over = true
	l.names.free(r.name)
	for _, a := range r.attempts {
		a.cancelWrite() // what was not written yet is not to be: nobody waits for it
	}
	if r.out == 0 {
		delete(l.requests, r.id)
	}
}

// finish gives a request its one answer.
func (l *loop) finish(id policy.RequestID, a response) {
	if r := l.requests[id]; r != nil && !r.over {
		l.close(r)
		r.answer <- a
		if l.note != nil {
			l.note(a.status, time.Since(r.began), l.config.Policy.Classes[r.class].LatencyObjective)
		}
		if l.tally != nil {
			l.count(r, a.status)
		}
		l.told(r, outcomeOf(a.status))
	}
}

func (l *loop) attemptEnded(e ended) {
	a, r := e.attempt, e.attempt.req
	r.out--
	if h := a.host; h != nil {
		h.out--
		l.heard(h, e.ending)
		l.drained(h)
	}
	r.timedOut = e.ending == policy.TimedOut
	l.traceAttempt(a, e.ending)
	if e.ending == policy.Served {
		l.finish(r.id, *e.answer)
	}
	// Whatever the ending: an answer too late for its client would stay here for ever.
	if r.over && r.out == 0 {
		delete(l.requests, r.id)
	}
	l.b.Outcome(l.now, policy.Outcome{ID: r.id, Attempt: a.number, Ending: e.ending, Settled: r.over})
}

// probesDone hands a host's probe results over in the order they were asked
// for, as the module matches them: a later one may be back first.
func (l *loop) probesDone(h *host) {
	for len(h.probes) > 0 && h.probes[0].done {
		p := h.probes[0]
		h.probes = h.probes[1:]
		if p.ok || h.drainAt == 0 { // a probe that was not sent for the drain is no word against the host
			l.b.Probed(l.now, h.id, p.ok, p.load)
		}
	}
}

// list takes news of the list over and passes them to the module.
func (l *loop) list(kind policy.ListKind, news client.ListUpdate) {
	servers := make([]policy.Endpoint, 0, len(news.Endpoints))
	named := make(map[string]bool, len(news.Endpoints))
	for _, e := range news.Endpoints {
		if named[e.Host] && kind != policy.ListDelta {
			slog.Warn("discovery: host listed twice", "host", e.Host)
		}
		s, ok := l.enter(e)
		if !ok && e.Health != "removed" {
			slog.Warn("discovery: entry passed over", "host", e.Host, "dial", e.Dial, "health", e.Health, "spoilt", e.Malformed)
			if h := l.hosts[e.Host]; h != nil {
				s, ok = l.enter(h.entry) // it stays as it was known
			}
		}
		if ok {
			named[e.Host] = true
			servers = append(servers, s)
		}
	}
	l.b.List(l.now, kind, servers)
	for _, h := range l.hosts {
		l.drain(h)
	}
	for name, h := range l.hosts {
		if h.entry.Health == "removed" || (kind != policy.ListDelta && !named[name]) {
			delete(l.hosts, name)
			delete(l.byID, h.id)
			l.up.pool.retire(h.peer)
		}
	}
	l.forgetSites()
	if len(l.hosts) > 0 || kind != policy.ListCached {
		l.ready.Store(true)
	}
}

// drain puts into force what the list says of a host's drain: nothing new goes
// there, what runs ends, and idle connections are closed; or all that is taken back.
func (l *loop) drain(h *host) {
	drains := h.entry.Health != "up"
	switch {
	case drains && h.drainAt == 0:
		h.drainAt = l.now
		l.up.pool.drain(h.peer)
		slog.Info("upstream drains", "host", h.entry.Host, "running", h.out)
		l.drained(h)
	case !drains && h.drainAt != 0:
		h.drainAt = 0
		l.up.pool.resume(h.peer)
		slog.Info("upstream's drain is called off", "host", h.entry.Host)
	}
}

// drained says when a host that drains has nothing of ours any more.
func (l *loop) drained(h *host) {
	if h.drainAt != 0 && h.out == 0 {
		slog.Info("upstream drained", "host", h.entry.Host, "after", l.now-h.drainAt)
	}
}

// forgetSites lets go of the sites that the settings do not name and no host is at any more.
func (l *loop) forgetSites() {
	if len(l.sites) <= len(l.config.Zones)+len(l.hosts) {
		return
	}
	used := make(map[string]bool, len(l.hosts))
	for _, h := range l.hosts {
		used[h.entry.Site] = true
	}
	maps.DeleteFunc(l.sites, func(name string, number int) bool {
		return number >= len(l.config.Zones) && !used[name]
	})
}

// enter takes one entry of the list over. A word for its health that is not
// known means nothing new, as draining does.
func (l *loop) enter(e client.Endpoint) (policy.Endpoint, bool) {
	if e.Host == "" || e.Malformed {
		return policy.Endpoint{}, false
	}
	h := l.hosts[e.Host]
	if _, err := netip.ParseAddrPort(e.Dial); err != nil {
		if h == nil || e.Health == "up" {
			return policy.Endpoint{}, false
		}
		e.Dial = h.entry.Dial // it is to get nothing new: its address does not matter
	}
	if h == nil {
		l.lastHost++
		h = &host{id: l.lastHost, peer: &upstreamServer{addr: e.Dial}}
		l.hosts[e.Host], l.byID[h.id] = h, h
	} else if h.entry.Dial != e.Dial || h.entry.BornMS != e.BornMS { // what was open to it leads nowhere now
		l.up.pool.retire(h.peer)
		h.peer, h.drainAt = &upstreamServer{addr: e.Dial}, 0
	}
	// A start ahead of this machine's clock would keep an upstream cold for too
	// long; it is taken for now, and stays so while the entry names the same start.
	if h.entry.BornMS != e.BornMS || h.started == 0 {
		h.started = policy.StartedAt(settings.DurationFromMillis(e.BornMS), l.now, l.wallStep())
	}
	h.entry = e
	site, ok := l.sites[e.Site]
	if !ok {
		site = l.nextSite
		l.nextSite++
		l.sites[e.Site] = site
	}
	s := policy.Endpoint{ID: h.id, Zone: site, Weight: e.Share, Started: h.started, State: policy.Draining}
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

// Send starts an attempt.
func (l *loop) Send(id policy.RequestID, to policy.ServerID, timeout, start time.Duration) {
	r, h := l.requests[id], l.byID[to]
	if r == nil {
		return
	}
	until, startBy := r.answerBy(), time.Time{}
	if timeout != 0 {
		if cut := time.Now().Add(timeout); cut.Before(until) {
			until = cut
		}
	}
	if start != 0 { // of the module's clock, which stands still in an event
		startBy = l.begin.Add(l.now + start - time.Duration(l.begin.UnixNano()))
	}
	a := newAttempt(l.life, r, until, startBy)
	r.attempts = append(r.attempts, a)
	r.out++
	if h == nil || r.over {
		a.cancelWrite()
		a.cancel()
		l.local = append(l.local, ended{attempt: a, ending: policy.NotSent})
		return
	}
	a.server, a.host = h.peer, h
	h.out++
	l.tasks.Go(func() {
		ending, ans := l.up.runAttempt(a)
		l.post(ended{a, ending, ans})
	})
}

// Refuse answers 503: trying again is harmless.
func (l *loop) Refuse(id policy.RequestID, pause time.Duration) {
	l.finish(id, response{status: http.StatusServiceUnavailable, retryAfter: pause})
}

// Fail answers without a promise: never with 429 or 503, which are refusals.
func (l *loop) Fail(id policy.RequestID) {
	status := http.StatusBadGateway
	if r := l.requests[id]; r != nil && (r.timedOut || r.out > 0) { // time ran out, whoever noticed first
		status = http.StatusGatewayTimeout
	}
	l.finish(id, response{status: status})
}

// Cancel gives an attempt up, which closes its connection.
func (l *loop) Cancel(id policy.RequestID, number int) {
	if r := l.requests[id]; r != nil && number >= 0 && number < len(r.attempts) {
		r.attempts[number].cancel()
	}
}

// Wake arms the one timer. The module asks again only for an earlier time.
func (l *loop) Wake(d time.Duration) {
	l.dueAt = l.now + d
	l.timer.Reset(d)
}

// Probe asks an upstream for its load.
func (l *loop) Probe(to policy.ServerID) {
	h := l.byID[to]
	if h == nil {
		return
	}
	p := &probe{host: h}
	h.probes = append(h.probes, p)
	peer := h.peer
	l.tasks.Go(func() {
		ok, load := l.up.probe(l.life, peer)
		l.post(probed{p, ok, load})
	})
}

// WatchList subscribes to the list, where that is the module's to ask.
func (l *loop) WatchList() {
	select {
	case l.asks <- struct{}{}:
	default: // one is waiting already
	}
}
