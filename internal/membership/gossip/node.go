package gossip

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"barleywick/internal/membership"
	"barleywick/internal/mutation"
)

// Options configure a Node.
type Options struct {
	Config membership.Config
	Self   membership.Info
	// FindSeeds finds further addresses where members listen, for example in the registry;
	// nil: there are none.
	FindSeeds func(ctx context.Context) ([]string, error)
	// WatchProcesses makes the node watch the members' processes on its own machine, which takes a
	// file descriptor for each.
	WatchProcesses bool
	// Transport carries the messages; nil: sockets do.
	Transport memberlist.NodeAwareTransport
	// OnChange is called after the view has changed, never concurrently. It must not block.
	OnChange func()
	Logger   *slog.Logger // nil: slog's default
}

const (
	// gossipInterval is the time between two sends of gossip messages. A message reaches a thousand
	// members within about ten intervals.
	gossipInterval = 100 * time.Millisecond
	// pushPullInterval is the time between two exchanges of full views, which make up for lost
	// gossip messages.
	pushPullInterval = 10 * time.Second
	// roundInterval is the time between two rounds, in which digests are sent and unreachable
	// members are called.
	roundInterval = time.Second
	// digestLifetime is how long a received digest is compared with this view's. In one round a
	// member receives membership.DigestFanout digests on average.
	digestLifetime = 10 * time.Second
	// suspicionMult and suspicionMaxTimeoutMult bound how long a suspicion lasts before the
	// member is unreachable: suspicionMult probe intervals times the logarithm of the number of
	// members, and up to suspicionMaxTimeoutMult times that if this process itself may be the one
	// that misses messages.
	suspicionMult, suspicionMaxTimeoutMult = 4, 4
	// callTimeout bounds one call to another member.
	callTimeout = time.Second
	// pauseThreshold is how late a round may be before this process counts as having been paused.
	// Its suspicions are then ignored for a while, since the pause may have caused them.
	pauseThreshold = 2 * roundInterval
	leaveTimeout   = 2 * time.Second
)

// Node makes this process a member of the fleet.
type Node struct {
	options        Options
	log            *slog.Logger
	startedAt      time.Time
	list           atomic.Pointer[memberlist.Memberlist]
	broadcasts     *memberlist.TransmitLimitedQueue
	traffic        traffic
	counters       counters
	processes      *processWatcher // nil: no processes are watched
	replacedSignal chan struct{}   // signals that a later process has the same name
	changedSignal  chan struct{}   // signals that the view has changed
	saveNow        chan struct{}   // signals that the cache is outdated
	// writeFile replaces a file and syncs it, which may block as long as the disk does.
	writeFile func(path string, text []byte, permissions os.FileMode) error

	mu           sync.Mutex
	self         membership.Info
	view         *membership.View
	addrs        map[string]string        // addresses where members listen, by key
	unresponsive map[string]time.Duration // until when a booking server counts as unresponsive
	partitioned  bool                     // as of the last round
	resumedAt    time.Duration            // when it last detected that it had been paused
}

// Start creates the member and starts to listen. Run has to be called next; it joins the fleet.
func Start(o Options) (*Node, error) {
	if err := o.Config.Check(); err != nil {
		return nil, err
	}
	n := newNode(o)
	cache, err := n.loadCache()
	if err != nil {
		n.log.Warn("members: cache not used", "err", err)
	}
	n.identify(cache.Incarnation)
	if _, err := n.self.Encode(); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	if o.WatchProcesses {
		n.processes = newProcessWatcher(n.processEnded)
	}
	if err := n.createMemberlist(); err != nil {
		return nil, err
	}
	return n, nil
}

func newNode(o Options) *Node {
	n := &Node{
		options: o, log: o.Logger, startedAt: time.Now(), self: o.Self,
		replacedSignal: make(chan struct{}, 1), changedSignal: make(chan struct{}, 1), saveNow: make(chan struct{}, 1),
		addrs: make(map[string]string), unresponsive: make(map[string]time.Duration), writeFile: replaceFile,
	}
	if n.log == nil {
		n.log = slog.Default()
	}
	n.broadcasts = &memberlist.TransmitLimitedQueue{NumNodes: n.Size, RetransmitMult: memberlist.DefaultLANConfig().RetransmitMult}
	return n
}

// identify completes this process's metadata. Its incarnation is above that of its last start,
// even if the clock was set back.
func (n *Node) identify(lastIncarnation uint64) {
	n.self.MachineID, n.self.PID, n.self.ProcessStart = membership.CurrentProcess()
	n.self.MachineName, n.self.Zone = n.options.Config.MachineName, n.options.Config.Zone
	if n.self.Incarnation == 0 {
		n.self.Incarnation = uint64(n.startedAt.UnixMicro())
	}
	if n.self.Incarnation <= lastIncarnation {
		n.self.Incarnation = lastIncarnation + 1
	}
	if mutation.ReuseIncarnation {
		n.self.Incarnation = 1
	}
}

// now is the view's clock. It is never 0, which means an unset time.
func (n *Node) now() time.Duration { return time.Since(n.startedAt) + 1 }

// Update changes the metadata that this process announces. Its name and incarnation stay.
func (n *Node) Update(update func(i *membership.Info)) {
	n.mu.Lock()
	next := n.self
	update(&next)
	next.Name, next.Incarnation = n.self.Name, n.self.Incarnation
	_, err := next.Encode()
	unchanged := next == n.self
	if err == nil && !unchanged {
		n.self = next
		n.view.MarkPresent(next, n.now())
	}
	n.mu.Unlock()
	if err != nil {
		n.log.Error("members: invalid update of own metadata", "err", err)
		return
	}
	if unchanged {
		return
	}
	// The timeout matters if this process leaves meanwhile: the update may then never be sent.
	if err := n.list.Load().UpdateNode(callTimeout); err != nil {
		n.log.Debug("members: update not sent", "err", err)
	}
}

// Self returns the metadata that this process announces.
func (n *Node) Self() membership.Info {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self
}

// Size returns how many members count as present.
func (n *Node) Size() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Partition().Present
}

// CountRole returns how many members of a role count as present.
func (n *Node) CountRole(role membership.Role) (count int) {
	for _, member := range n.Members() {
		if member.Role == role && member.Status.CountsAsPresent() {
			count++
		}
	}
	return count
}

// Partition returns which part of the fleet this process can reach.
func (n *Node) Partition() membership.PartitionState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Partition()
}

// Members returns all members that the view holds.
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

// Latest returns the process of a name that started last.
func (n *Node) Latest(name string) (membership.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Latest(name)
}

// Forget marks the unreachable members of a name as ended, and returns how many there were.
func (n *Node) Forget(name string) int {
	n.mu.Lock()
	forgotten := n.view.Forget(name, n.now())
	n.mu.Unlock()
	if forgotten > 0 {
		n.notifyChanged()
	}
	return forgotten
}
