// Package gossip is a process as a member of the fleet: SWIM with Lifeguard's extensions,
// through hashicorp/memberlist, and beside it what members say of each other's ends and of
// what they see.
package gossip

import (
	"context"
	"fmt"
	"log/slog"
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

func (n *Node) now() time.Duration { return time.Since(n.startedAt) + 1 } // 0 is never

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
