package server

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/raft"

	"barleywick/internal/registry"
)

// stateMachine is the replicated state machine that Raft drives. It applies the commands of the
// log one by one, and publishes each change of the list under the same lock. A watch that reads
// the state and its position in the event stream under that lock misses no change and gets none
// twice.
type stateMachine struct {
	broadcaster *watchBroadcaster

	applied atomic.Uint64 // index of the last entry that Apply has processed

	mu                    sync.RWMutex
	state                 *registry.State
	fullListCache         []byte // the encoded full list of version fullListSeq
	fullListSeq           uint64
	listChanged           chan struct{}
	leasesOrPolicyChanged chan struct{} // closed at the next change of the leases or the policy
}

func newStateMachine(broadcaster *watchBroadcaster) *stateMachine {
	return &stateMachine{
		broadcaster:           broadcaster,
		state:                 registry.NewState(),
		listChanged:           make(chan struct{}),
		leasesOrPolicyChanged: make(chan struct{}),
	}
}

// Apply applies one log entry and returns a registry.Result.
func (m *stateMachine) Apply(entry *raft.Log) any {
	defer m.applied.Store(entry.Index)
	if entry.Type != raft.LogCommand {
		return registry.Result{}
	}
	var c registry.Command
	if err := json.Unmarshal(entry.Data, &c); err != nil {
		// Deterministic: all replicas decode the same bytes.
		return registry.Result{Err: fmt.Errorf("%w: log entry %d: %w", registry.ErrInvalid, entry.Index, err)}
	}
	if c.Term != 0 && c.Term != entry.Term {
		return registry.Result{Err: fmt.Errorf("%w: command decided in term %d, appended in term %d", registry.ErrConflict, c.Term, entry.Term)}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	before, leases, policy := m.state.Seq(), m.state.Leases().Version(), m.state.Rollout().Version()
	result := m.state.Apply(c)
	if m.state.Leases().Version() != leases || m.state.Rollout().Version() != policy {
		m.notifyLeasesOrPolicy()
	}
	if m.state.Seq() != before {
		m.publishChanges(before, len(result.ChangedHosts) == 0)
	}
	return result
}

// publishChanges publishes the changes of the list since a version. With resync the event carries
// no changes, and the watches read them from the state.
func (m *stateMachine) publishChanges(since uint64, resync bool) {
	event := watchEvent{seq: m.state.Seq(), resync: resync}
	if !resync {
		event.line = encodeLine(m.state.ChangesSince(since))
	}
	m.publish(event)
}

// notifyLeasesOrPolicy wakes the calls that wait for a change of the leases or the policy.
func (m *stateMachine) notifyLeasesOrPolicy() {
	close(m.leasesOrPolicyChanged)
	m.leasesOrPolicyChanged = make(chan struct{})
}

// publish sends an event to the watches and wakes the calls that wait for a new list version.
func (m *stateMachine) publish(event watchEvent) {
	m.broadcaster.publish(event)
	close(m.listChanged)
	m.listChanged = make(chan struct{})
}

// encodeLine encodes a list update as one line of JSON. It cannot fail, since numbers that JSON cannot
// represent are rejected on input.
func encodeLine(update registry.ListUpdate) []byte {
	text, err := json.Marshal(update)
	if err != nil {
		panic(fmt.Sprintf("registry: cannot encode list update: %v", err))
	}
	return append(text, '\n')
}

// Snapshot returns the serialized current state, which Raft persists.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	text, err := json.Marshal(m.state)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return serializedState(text), nil
}

// Restore replaces the state with a snapshot. Watches continue from their current version.
func (m *stateMachine) Restore(snapshot io.ReadCloser) error {
	defer snapshot.Close()
	text, err := io.ReadAll(snapshot)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	state := registry.NewState()
	if err := json.Unmarshal(text, state); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state, m.fullListCache = state, nil
	m.publish(watchEvent{resync: true})
	m.notifyLeasesOrPolicy()
	return nil
}

// serializedState is a snapshot of the state as JSON.
type serializedState []byte

// Persist writes the snapshot.
func (s serializedState) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		_ = sink.Cancel() // the error of the write is returned instead
		return fmt.Errorf("write snapshot: %w", err)
	}
	return sink.Close()
}

// Release does nothing: a snapshot holds no resources.
func (serializedState) Release() {}

// view calls read with the state under the read lock. read must not retain the state.
func (m *stateMachine) view(read func(s *registry.State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	read(m.state)
}

// seq returns the current list version.
func (m *stateMachine) seq() (seq uint64) {
	m.view(func(s *registry.State) { seq = s.Seq() })
	return seq
}

// fullList returns the full list, encoded as a line.
func (m *stateMachine) fullList() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fullListLocked()
}

func (m *stateMachine) fullListLocked() []byte {
	if m.fullListCache == nil || m.fullListSeq != m.state.Seq() {
		m.fullListCache, m.fullListSeq = encodeLine(m.state.FullList()), m.state.Seq()
	}
	return m.fullListCache
}

// watchPosition is the progress of a watch: the line to send, the list version after that line,
// and the next event.
type watchPosition struct {
	line []byte
	seq  uint64
	next *watchEvent
}

// beginWatch returns the position of a watch that starts from a list version. Its line holds the
// changes since that version, or the full list if they are not available.
func (m *stateMachine) beginWatch(from uint64) watchPosition {
	m.mu.Lock()
	defer m.mu.Unlock()
	position := watchPosition{seq: m.state.Seq(), next: m.broadcaster.nextEvent()}
	if update := m.state.ChangesSince(from); update.Full {
		position.line = m.fullListLocked()
	} else {
		position.line = encodeLine(update)
	}
	return position
}

// listVersion returns the current list version and a channel that is closed when it changes.
func (m *stateMachine) listVersion() (seq uint64, changed <-chan struct{}) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Seq(), m.listChanged
}
