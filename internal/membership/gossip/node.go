// Package gossip is a process as a member of the fleet: SWIM with Lifeguard's extensions,
// through hashicorp/memberlist, and beside it what members say of each other's ends and of
// what they see.
package gossip

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"barleywick/internal/membership"
	"barleywick/internal/mutation"
)

// Options are what a Node needs.
type Options struct {
	Config membership.Config
	Self   membership.Info
	// FindSeeds finds further addresses where members listen, as the registry knows them; nil:
	// there are none.
	FindSeeds func(ctx context.Context) ([]string, error)
	// WatchProcesses has it see when processes of its own machine end, for a descriptor each.
	WatchProcesses bool
	// Transport carries it instead of sockets.
	Transport memberlist.NodeAwareTransport
	// OnChange is called after the view has changed, not twice at once, and must not wait.
	OnChange func()
	Logger   *slog.Logger // nil: the default one
}

const (
	// gossipInterval: news are with a thousand members after some ten of them.
	gossipInterval = 100 * time.Millisecond
	// pushPullInterval is between two exchanges of whole views, which mend what gossip has lost.
	pushPullInterval = 10 * time.Second
	// roundInterval is a round: views are compared, who is lost is called.
	roundInterval = time.Second
	// digestLifetime is for how long a word on a view is compared: each member is told
	// of by every other's three in a round, on average.
	digestLifetime = 10 * time.Second
	// suspicionMult and suspicionMaxTimeoutMult bound how long a suspicion may last before it is a
	// loss: so many probes times the logarithm of the members' number, and up to so many
	// times that where this process itself may be the one that hears badly.
	suspicionMult, suspicionMaxTimeoutMult = 4, 4
	// callTimeout is for one connection to another member.
	callTimeout = time.Second
	// pauseThreshold is how late a round may come before this process takes itself for one that
	// was stopped: whom it suspects then, it suspects of its own silence.
	pauseThreshold  = 2 * roundInterval
	leaveTimeout    = 2 * time.Second
	maxMessageBytes = 400 // bytes of a note: several go into one datagram
	maxEndRecords   = 64  // ends that one exchange of views tells of
)

// message is what members tell each other beside SWIM's own messages.
type message struct {
	Kind     string `json:"t"`
	Key      string `json:"k"`
	Witness  string `json:"b,omitempty"`
	Digest   uint64 `json:"d,omitempty"`
	Endpoint string `json:"h,omitempty"`
}

const (
	messageLeave        = "bye"     // Key ends by its own will
	messageEnded        = "gone"    // Key's process has ended, as By saw
	messageSuspect      = "suspect" // Key does not answer By
	messageDigest       = "digest"  // what Key sees
	messageUnresponsive = "host"    // the booking server Host does not answer Key
)

// Node is this process as a member.
type Node struct {
	options    Options
	log        *slog.Logger
	startedAt  time.Time
	list       atomic.Pointer[memberlist.Memberlist]
	broadcasts *memberlist.TransmitLimitedQueue
	traffic    traffic
	processes  *processWatcher // nil: it watches none
	replaced   chan struct{}
	changed    chan struct{}

	mu           sync.Mutex
	self         membership.Info
	view         *membership.View
	addrs        map[string]string // by key
	unresponsive map[string]time.Duration
	partitioned  bool
	resumedAt    time.Duration // when it last took itself for one that was stopped

	suspicions, unreachableSeen, healRounds, notes, malformed atomic.Uint64
}

// Start joins the fleet as far as anybody answers; Run has to be at work from then on.
func Start(o Options) (*Node, error) {
	if err := o.Config.Check(); err != nil {
		return nil, err
	}
	n := &Node{options: o, log: o.Logger, startedAt: time.Now(), replaced: make(chan struct{}, 1), changed: make(chan struct{}, 1), self: o.Self, addrs: make(map[string]string), unresponsive: make(map[string]time.Duration)}
	if n.log == nil {
		n.log = slog.Default()
	}
	remembered, err := n.loadCache()
	if err != nil {
		n.log.Warn("members: what was kept is not used", "err", err)
	}
	n.self.MachineID, n.self.PID, n.self.ProcessStart = membership.CurrentProcess()
	n.self.MachineName, n.self.Zone = o.Config.MachineName, o.Config.Zone
	if n.self.Incarnation == 0 {
		n.self.Incarnation = uint64(n.startedAt.UnixMicro())
	}
	if n.self.Incarnation <= remembered.Incarnation {
		n.self.Incarnation = remembered.Incarnation + 1 // the clock was set back
	}
	if mutation.SameIncarnation {
		n.self.Incarnation = 1
	}
	if _, err := n.self.Encode(); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	if o.WatchProcesses {
		n.processes = newProcessWatcher(n.processEnded)
	}
	n.broadcasts = &memberlist.TransmitLimitedQueue{NumNodes: n.Size, RetransmitMult: memberlist.DefaultLANConfig().RetransmitMult}
	if err := n.createMemberlist(); err != nil {
		return nil, err
	}
	return n, nil
}

// createMemberlist begins as the process of this incarnation.
func (n *Node) createMemberlist() error {
	n.mu.Lock()
	n.view = membership.NewView(n.self, n.options.Config.ForgetAfter(), n.now())
	n.mu.Unlock()
	logger := log.New(&memberlistLog{n}, "", 0)
	inner := n.options.Transport
	if inner == nil {
		var err error
		if inner, err = listen(n.options.Config.Listen, logger); err != nil {
			return err
		}
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label = n.self.Key(), "barleywick/"+n.options.Config.Fleet
	c.Transport, c.Logger = newMappedTransport(inner, n.options.Config.Routes, &n.traffic), logger
	c.TCPTimeout, c.GossipInterval, c.PushPullInterval = callTimeout, gossipInterval, pushPullInterval
	c.ProbeInterval, c.ProbeTimeout = n.options.Config.ProbeInterval(), n.options.Config.ProbeInterval()/2
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = suspicionMult, suspicionMaxTimeoutMult
	c.GossipToTheDeadTime = 3 * pushPullInterval
	c.EnableCompression = false // a few hundred bytes: it costs more than it spares
	d := &delegate{n}
	c.Delegate, c.Events, c.Alive, c.Ping = d, d, d, d
	list, err := memberlist.Create(c)
	if err != nil {
		_ = c.Transport.Shutdown()
		return fmt.Errorf("membership: %w", err)
	}
	n.list.Store(list)
	return nil
}

func (n *Node) now() time.Duration { return time.Since(n.startedAt) + 1 } // 0 is never

// Run keeps this process a member until ctx ends, and says goodbye then.
func (n *Node) Run(ctx context.Context) error {
	if n.processes != nil {
		defer n.processes.close()
	}
	var tasks sync.WaitGroup
	defer tasks.Wait()
	in, end := context.WithCancel(ctx)
	defer end()
	tasks.Go(func() { n.deliverChanges(in) })
	n.join(in)
	if err := n.supersede(in); err != nil {
		return err
	}
	tasks.Go(func() { n.reconnect(in) })
	last := time.Now()
	tick := time.NewTicker(roundInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return n.leave()
		case <-n.replaced: // this process has been replaced
			n.mu.Lock()
			s, _ := n.view.Get(n.self.Key())
			n.mu.Unlock()
			if s.Status == membership.StatusReplaced {
				n.log.Error("members: a later process has this one's name: it is a member no more; give one of them another name", "name", n.self.Name, "later", s.By)
				end()
				tasks.Wait()
				_ = n.list.Load().Shutdown()
				<-ctx.Done() // whatever else it does, it goes on
				return nil
			}
		case <-tick.C:
			now := time.Now()
			n.runRound(now.Sub(last))
			last = now
		}
	}
}

// supersede makes this process the later one of its name, where its clock says otherwise:
// whoever was there when it came, began before.
func (n *Node) supersede(ctx context.Context) error {
	n.mu.Lock()
	latest, _ := n.view.Latest(n.self.Name)
	n.mu.Unlock()
	if latest.Incarnation <= n.self.Incarnation {
		return nil
	}
	if n.options.Transport != nil {
		return fmt.Errorf("membership: %s is there already, as %s", n.self.Name, latest.Key())
	}
	n.log.Error("members: another process of this name is there, and its start is later by the clock; this one goes before it", "name", n.self.Name, "other", latest.Key())
	if err := n.list.Load().Shutdown(); err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	n.mu.Lock()
	n.self.Incarnation = latest.Incarnation + 1
	n.mu.Unlock()
	if err := n.createMemberlist(); err != nil {
		return err
	}
	n.join(ctx)
	return nil
}

// leave says goodbye and stops.
func (n *Node) leave() error {
	n.broadcast(message{Kind: messageLeave, Key: n.self.Key()})
	time.Sleep(2 * gossipInterval) // the goodbye goes out with the next gossip, before SWIM's own word
	err := n.list.Load().Leave(leaveTimeout)
	n.saveCache()
	return errors.Join(err, n.list.Load().Shutdown())
}

// runRound is one round: what is past is forgotten, and others are told what is seen here.
func (n *Node) runRound(since time.Duration) {
	now := n.now()
	n.mu.Lock()
	if since > roundInterval+pauseThreshold {
		n.log.Warn("members: this process was stopped, or had no time to run", "for", since)
		n.resumedAt = now
	}
	healed, done := n.view.Tick(now)
	for host, until := range n.unresponsive {
		if now >= until {
			delete(n.unresponsive, host)
		}
	}
	side, digest := n.view.Partition(), n.view.Digest()
	var others []string
	for _, s := range n.view.List() {
		if s.Status.CountsAsPresent() && s.Key() != n.self.Key() {
			others = append(others, s.Key())
		}
	}
	was := n.partitioned
	n.partitioned = side.Partitioned()
	var to []string
	for range min(membership.DigestFanout, len(others)) {
		i := rand.IntN(len(others))
		to = append(to, others[i])
		others[i] = others[len(others)-1]
		others = others[:len(others)-1]
	}
	n.mu.Unlock()
	switch {
	case n.partitioned && !was:
		n.log.Warn("members: some fell silent", "here", side.Present, "lost", side.Unreachable, "minority", side.Minority())
	case was && !n.partitioned:
		n.log.Info("members: nobody is missing", "here", side.Present)
	}
	if done {
		n.healRounds.Store(uint64(healed))
		n.log.Info("members: all is whole again", "here", side.Present, "rounds", healed)
	}
	n.send(to, message{Kind: messageDigest, Key: n.self.Key(), Digest: digest})
	if n.partitioned != was || done {
		n.notifyChanged()
	}
}

// send sends a note to some members, once.
func (n *Node) send(to []string, what message) {
	text, err := json.Marshal(what)
	if err != nil {
		return
	}
	n.mu.Lock()
	var addrs []memberlist.Address
	for _, key := range to {
		if a := n.addrs[key]; a != "" {
			addrs = append(addrs, memberlist.Address{Addr: a, Name: key})
		}
	}
	n.mu.Unlock()
	for _, a := range addrs {
		if err := n.list.Load().SendToAddress(a, text); err != nil {
			n.log.Debug("members: not told", "to", a.Name, "err", err)
		}
	}
}

// broadcast has a note go to all members.
func (n *Node) broadcast(what message) {
	text, err := json.Marshal(what)
	if err != nil || len(text) > maxMessageBytes {
		n.log.Warn("members: a note that cannot be sent", "kind", what.Kind, "bytes", len(text), "err", err)
		return
	}
	n.broadcasts.QueueBroadcast(queuedBroadcast{what.Kind + what.Key + what.Endpoint, text})
}

// queuedBroadcast is a note on its way; a later one of the same name takes its place.
type queuedBroadcast struct {
	name string
	text []byte
}

func (s queuedBroadcast) Invalidates(b memberlist.Broadcast) bool {
	o, ok := b.(queuedBroadcast)
	return ok && o.name == s.name
}
func (s queuedBroadcast) Name() string    { return s.name }
func (s queuedBroadcast) Message() []byte { return s.text }
func (s queuedBroadcast) Finished()       {}

// processEnded is told that a process of this machine has processEnded.
func (n *Node) processEnded(key string) {
	now := n.now()
	n.mu.Lock()
	news := n.view.MarkEnded(key, n.self.Key(), now)
	n.mu.Unlock()
	if news {
		n.log.Info("members: a process of this machine has ended", "member", key)
		n.broadcast(message{Kind: messageEnded, Key: key, Witness: n.self.Key()})
		n.notifyChanged()
	}
}

// ReportUnresponsive tells the others that a booking server does not answer this process: a
// reason to look at it, and nothing more.
func (n *Node) ReportUnresponsive(host string) {
	n.mu.Lock()
	news := n.unresponsive[host] == 0 && len(n.unresponsive) < maxUnresponsive
	if news {
		n.unresponsive[host] = n.now() + unresponsiveLifetime
	}
	n.mu.Unlock()
	if news {
		n.broadcast(message{Kind: messageUnresponsive, Key: n.self.Key(), Endpoint: host})
		n.notifyChanged()
	}
}

const (
	maxUnresponsive      = 256
	unresponsiveLifetime = 5 * time.Second // for how long one word on a server is a reason to look at it
)

// UnresponsiveEndpoints are the booking servers that some member has not heard from in the last seconds.
func (n *Node) UnresponsiveEndpoints() (hosts []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for host := range n.unresponsive {
		hosts = append(hosts, host)
	}
	return hosts
}

// Update changes what this process says of itself.
func (n *Node) Update(change func(i *membership.Info)) {
	n.mu.Lock()
	next := n.self
	change(&next)
	next.Name, next.Incarnation = n.self.Name, n.self.Incarnation
	_, err := next.Encode()
	same := next == n.self
	if err == nil && !same {
		n.self = next
		n.view.MarkPresent(next, n.now())
	}
	n.mu.Unlock()
	switch {
	case err != nil:
		n.log.Error("members: what this process would say of itself is not said", "err", err)
	case !same:
		// For a bounded time: where it leaves meanwhile, nobody takes the news any more.
		if err := n.list.Load().UpdateNode(callTimeout); err != nil {
			n.log.Debug("members: not told", "err", err)
		}
	}
}

// Self is what this process says of itself.
func (n *Node) Self() membership.Info {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self
}

// Size is how many members are there.
func (n *Node) Size() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Partition().Present
}

// CountRole is how many members of a role are there.
func (n *Node) CountRole(role membership.Role) (some int) {
	for _, s := range n.Members() {
		if s.Role == role && s.Status.CountsAsPresent() {
			some++
		}
	}
	return some
}

// Partition is what this process sees of the fleet.
func (n *Node) Partition() membership.PartitionState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Partition()
}

// Members are all members that are known.
func (n *Node) Members() []membership.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.List()
}

// Get returns a member by its key.
func (n *Node) Get(key string) (membership.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Get(key)
}

// Latest is the latest process of a name.
func (n *Node) Latest(name string) (membership.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Latest(name)
}

// Forget takes a lost member for one that never comes back.
func (n *Node) Forget(name string) int {
	n.mu.Lock()
	some := n.view.Forget(name, n.now())
	n.mu.Unlock()
	if some > 0 {
		n.notifyChanged()
	}
	return some
}

func (n *Node) notifyChanged() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// deliverChanges calls Changed, at most once at a time.
func (n *Node) deliverChanges(ctx context.Context) {
	for {
		select {
		case <-n.changed:
			if n.options.OnChange != nil {
				n.options.OnChange()
			}
		case <-ctx.Done():
			return
		}
	}
}

// delegate is what memberlist calls. It holds memberlist's locks meanwhile, so nothing
// here calls back.
type delegate struct{ n *Node }

func (d *delegate) NodeMeta(int) []byte {
	text, err := d.n.Self().Encode()
	if err != nil {
		return nil // it was checked before
	}
	return text
}

// NotifyAlive refuses what is no member of ours.
func (d *delegate) NotifyAlive(peer *memberlist.Node) error {
	i, err := membership.DecodeInfo(peer.Meta)
	if err == nil && i.Key() != peer.Name {
		err = fmt.Errorf("it is named %.80q and says %.80q", peer.Name, i.Key())
	}
	if err != nil {
		d.n.malformed.Add(1)
	}
	return err
}

func (d *delegate) NotifyJoin(peer *memberlist.Node) {
	n := d.n
	i, err := membership.DecodeInfo(peer.Meta)
	if err != nil {
		return // NotifyAlive has refused it
	}
	n.mu.Lock()
	news := n.view.MarkPresent(i, n.now())
	if _, ok := n.view.Get(i.Key()); ok {
		n.addrs[i.Key()] = net.JoinHostPort(peer.Addr.String(), fmt.Sprint(peer.Port))
	}
	own := n.self
	s, _ := n.view.Get(own.Key())
	for key := range n.addrs { // as bounded as the view
		if _, ok := n.view.Get(key); !ok {
			delete(n.addrs, key)
		}
	}
	n.mu.Unlock()
	if s.Status == membership.StatusReplaced {
		select {
		case n.replaced <- struct{}{}:
		default:
		}
	}
	if n.processes != nil && i.MachineID == own.MachineID && i.MachineID != "" && i.Key() != own.Key() {
		n.processes.add(i)
	}
	if news {
		n.notifyChanged()
	}
}

func (d *delegate) NotifyUpdate(peer *memberlist.Node) { d.NotifyJoin(peer) }

func (d *delegate) NotifyLeave(peer *memberlist.Node) {
	n := d.n
	n.mu.Lock()
	news := n.view.MarkUnreachable(peer.Name, false, n.now())
	n.mu.Unlock()
	if news {
		n.unreachableSeen.Add(1)
		n.log.Info("members: lost", "member", peer.Name)
		n.notifyChanged()
	}
}

func (d *delegate) NotifyPingComplete(other *memberlist.Node, _ time.Duration, _ []byte) {
	d.n.mu.Lock()
	defer d.n.mu.Unlock()
	d.n.view.MarkResponded(other.Name, d.n.now())
}

func (d *delegate) AckPayload() []byte { return nil }

// NotifyMsg takes a note in; what is news here is passed on.
func (d *delegate) NotifyMsg(text []byte) {
	n := d.n
	var what message
	if len(text) > maxMessageBytes || json.Unmarshal(text, &what) != nil || what.Key == "" {
		n.malformed.Add(1)
		return
	}
	n.notes.Add(1)
	now := n.now()
	news := false
	n.mu.Lock()
	switch what.Kind {
	case messageDigest:
		n.view.RecordDigest(what.Key, what.Digest, now)
	case messageLeave:
		news = n.view.MarkUnreachable(what.Key, true, now)
	case messageEnded:
		news = n.view.MarkEnded(what.Key, what.Witness, now)
	case messageSuspect:
		news = n.view.MarkSuspected(what.Key, now, now+n.suspicionTimeout())
	case messageUnresponsive:
		if s, ok := n.view.Get(what.Key); ok && s.Status.CountsAsPresent() && n.unresponsive[what.Endpoint] == 0 && len(n.unresponsive) < maxUnresponsive {
			n.unresponsive[what.Endpoint], news = now+unresponsiveLifetime, true
		}
	}
	n.mu.Unlock()
	if news {
		n.broadcast(what)
		n.notifyChanged()
	}
}

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.n.broadcasts.GetBroadcasts(overhead, limit)
}

// endRecord is one end that an exchange of views tells of.
type endRecord struct {
	Key     string `json:"k"`
	By      string `json:"b,omitempty"`
	Goodbye bool   `json:"g,omitempty"`
}

// LocalState tells of ends, which notes may have been lost of.
func (d *delegate) LocalState(bool) []byte {
	var ends []endRecord
	for _, s := range d.n.Members() {
		if (s.Status == membership.StatusLeft || s.Status == membership.StatusEnded) && len(ends) < maxEndRecords {
			ends = append(ends, endRecord{s.Key(), s.By, s.Status == membership.StatusLeft})
		}
	}
	text, err := json.Marshal(ends)
	if err != nil {
		return nil
	}
	return text
}

// MergeRemoteState takes another's ends in.
func (d *delegate) MergeRemoteState(text []byte, _ bool) {
	n := d.n
	var ends []endRecord
	if len(text) == 0 || len(text) > maxEndRecords*maxMessageBytes || json.Unmarshal(text, &ends) != nil || len(ends) > maxEndRecords {
		return
	}
	n.mu.Lock()
	news := false
	for _, e := range ends {
		if e.Goodbye {
			news = n.view.MarkUnreachable(e.Key, true, n.now()) || news
		} else {
			news = n.view.MarkEnded(e.Key, e.By, n.now()) || news
		}
	}
	n.mu.Unlock()
	if news {
		n.notifyChanged()
	}
}

// suspicionTimeout is how long a suspicionTimeout lasts at most. The lock is held.
func (n *Node) suspicionTimeout() time.Duration {
	scale := 1.0
	for size := n.view.Partition().Present; size >= 10; size /= 10 {
		scale++
	}
	return time.Duration(suspicionMult * suspicionMaxTimeoutMult * scale * float64(n.options.Config.ProbeInterval()))
}

// memberlistLog takes memberlist's own log: at debug, but for what this process itself found
// out. Its interface tells of members that are lost, not of those suspected.
type memberlistLog struct{ n *Node }

const suspectPrefix = "[INFO] memberlist: Suspect "

func (l *memberlistLog) Write(text []byte) (int, error) {
	line := strings.TrimSpace(string(text))
	if rest, ok := strings.CutPrefix(line, suspectPrefix); ok {
		key, _, _ := strings.Cut(rest, " ")
		l.n.reportSuspicion(key)
	}
	l.n.log.Debug(line)
	return len(text), nil
}

// reportSuspicion notes that a member has not answered this process.
func (n *Node) reportSuspicion(key string) {
	n.suspicions.Add(1)
	now := n.now()
	n.mu.Lock()
	// One that was stopped suspects whoever answered it meanwhile.
	own := n.resumedAt != 0 && now-n.resumedAt < 2*n.options.Config.ProbeInterval()
	news := !own && n.view.MarkSuspected(key, now, now+n.suspicionTimeout())
	n.mu.Unlock()
	if news {
		n.log.Info("members: suspected", "member", key)
		n.broadcast(message{Kind: messageSuspect, Key: key, Witness: n.self.Key()})
		n.notifyChanged()
	}
}
