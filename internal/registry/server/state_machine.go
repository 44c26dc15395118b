package server

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"

	"barleywick/internal/registry"
)

// stateMachine is the state under Raft: commands come in from the log one by one, and
// every change goes on to the hub under the same lock, so that a watch that reads
// the state and takes its place in the chain at once misses none and gets none twice.
type stateMachine struct {
	broadcaster *watchBroadcaster

	mu                    sync.RWMutex
	state                 *registry.State
	fullListCache         []byte // the whole list, encoded once for a version
	fullListSeq           uint64 // that version
	listChanged           chan struct{}
	leasesOrPolicyChanged chan struct{} // closed at the next change of leases or policy
}

func newStateMachine(h *watchBroadcaster) *stateMachine {
	return &stateMachine{broadcaster: h, state: registry.NewState(), listChanged: make(chan struct{}), leasesOrPolicyChanged: make(chan struct{})}
}

// Apply carries out one command of the log.
func (m *stateMachine) Apply(entry *raft.Log) any {
	if entry.Type != raft.LogCommand {
		return registry.Result{}
	}
	var c registry.Command
	if err := json.Unmarshal(entry.Data, &c); err != nil {
		// The same on all replicas, as they read the same bytes.
		return registry.Result{Err: fmt.Errorf("%w: log entry %d: %w", registry.ErrInvalid, entry.Index, err)}
	}
	if c.Term != 0 && c.Term != entry.Term {
		return registry.Result{Err: fmt.Errorf("%w: decided in term %d, written in %d", registry.ErrConflict, c.Term, entry.Term)}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	before, leases, policy := m.state.Seq(), m.state.Leases().Version(), m.state.Rollout().Version()
	r := m.state.Apply(c)
	if m.state.Leases().Version() != leases || m.state.Rollout().Version() != policy {
		m.notifyLeasesOrPolicy()
	}
	if m.state.Seq() != before {
		f := watchEvent{seq: m.state.Seq(), resync: len(r.ChangedHosts) == 0}
		if !f.resync {
			f.line = encodeLine(m.state.ChangesSince(before))
		}
		m.publish(f)
	}
	return r
}

// notifyLeasesOrPolicy wakes those that wait for news of leases or of the policy.
func (m *stateMachine) notifyLeasesOrPolicy() {
	close(m.leasesOrPolicyChanged)
	m.leasesOrPolicyChanged = make(chan struct{})
}

// publish passes a change on and wakes those that wait for a version.
func (m *stateMachine) publish(f watchEvent) {
	m.broadcaster.publish(f)
	close(m.listChanged)
	m.listChanged = make(chan struct{})
}

// encodeLine writes a listing as a line. It cannot fail: its numbers were checked.
func encodeLine(l registry.ListUpdate) []byte {
	text, err := json.Marshal(l)
	if err != nil {
		panic(fmt.Sprintf("registry: a listing that cannot be written: %v", err))
	}
	return append(text, '\n')
}

// Snapshot keeps the state as it is now.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	text, err := json.Marshal(m.state)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return serializedState(text), nil
}

// Restore takes over a snapshot. Watches go on from what they hold.
func (m *stateMachine) Restore(from io.ReadCloser) error {
	defer from.Close()
	text, err := io.ReadAll(from)
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

// serializedState is a state on its way to disk.
type serializedState []byte

// Persist writes it.
func (i serializedState) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(i); err != nil {
		sink.Cancel()
		return fmt.Errorf("write snapshot: %w", err)
	}
	return sink.Close()
}

// Release has nothing to let go of.
func (serializedState) Release() {}

// view gives a look at the state.
func (m *stateMachine) view(look func(s *registry.State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	look(m.state)
}

func (m *stateMachine) seq() (v uint64) {
	m.view(func(s *registry.State) { v = s.Seq() })
	return v
}

// fullList returns the whole fullList as a line.
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

// beginWatch returns what a watch from a version begins with, the version that it then
// holds, and the frame it goes on at.
func (m *stateMachine) beginWatch(from uint64) (line []byte, seq uint64, next *watchEvent) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.state.ChangesSince(from); l.Full {
		line = m.fullListLocked()
	} else {
		line = encodeLine(l)
	}
	return line, m.state.Seq(), m.broadcaster.nextEvent()
}

// listVersion returns the version now, and the channel that is closed at the next listVersion.
func (m *stateMachine) listVersion() (seq uint64, moved <-chan struct{}) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Seq(), m.listChanged
}
