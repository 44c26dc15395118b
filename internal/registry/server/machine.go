package server

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"

	"barleywick/internal/registry"
)

// machine is the state under Raft: commands come in from the log one by one, and
// every change goes on to the hub under the same lock, so that a watch that reads
// the state and takes its place in the chain at once misses none and gets none twice.
type machine struct {
	hub *hub

	mu    sync.RWMutex
	state *registry.State
	whole []byte // the whole list, encoded once for a version
	at    uint64 // that version
	moved chan struct{}
	news  chan struct{} // closed at the next change of leases or policy
}

func newMachine(h *hub) *machine {
	return &machine{hub: h, state: registry.NewState(), moved: make(chan struct{}), news: make(chan struct{})}
}

// Apply carries out one command of the log.
func (m *machine) Apply(entry *raft.Log) any {
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
		m.tell()
	}
	if m.state.Seq() != before {
		f := frame{seq: m.state.Seq(), jump: len(r.ChangedHosts) == 0}
		if !f.jump {
			f.line = encode(m.state.ChangesSince(before))
		}
		m.publish(f)
	}
	return r
}

// tell wakes those that wait for news of leases or of the policy.
func (m *machine) tell() {
	close(m.news)
	m.news = make(chan struct{})
}

// publish passes a change on and wakes those that wait for a version.
func (m *machine) publish(f frame) {
	m.hub.publish(f)
	close(m.moved)
	m.moved = make(chan struct{})
}

// encode writes a listing as a line. It cannot fail: its numbers were checked.
func encode(l registry.ListUpdate) []byte {
	text, err := json.Marshal(l)
	if err != nil {
		panic(fmt.Sprintf("registry: a listing that cannot be written: %v", err))
	}
	return append(text, '\n')
}

// Snapshot keeps the state as it is now.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	text, err := json.Marshal(m.state)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return image(text), nil
}

// Restore takes over a snapshot. Watches go on from what they hold.
func (m *machine) Restore(from io.ReadCloser) error {
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
	m.state, m.whole = state, nil
	m.publish(frame{jump: true})
	m.tell()
	return nil
}

// image is a state on its way to disk.
type image []byte

// Persist writes it.
func (i image) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(i); err != nil {
		sink.Cancel()
		return fmt.Errorf("write snapshot: %w", err)
	}
	return sink.Close()
}

// Release has nothing to let go of.
func (image) Release() {}

// read gives a look at the state.
func (m *machine) read(look func(s *registry.State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	look(m.state)
}

func (m *machine) seq() (v uint64) {
	m.read(func(s *registry.State) { v = s.Seq() })
	return v
}

// list returns the whole list as a line.
func (m *machine) list() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wholeLocked()
}

func (m *machine) wholeLocked() []byte {
	if m.whole == nil || m.at != m.state.Seq() {
		m.whole, m.at = encode(m.state.FullList()), m.state.Seq()
	}
	return m.whole
}

// follow returns what a watch from a version begins with, the version that it then
// holds, and the frame it goes on at.
func (m *machine) follow(from uint64) (line []byte, seq uint64, next *frame) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.state.ChangesSince(from); l.Full {
		line = m.wholeLocked()
	} else {
		line = encode(l)
	}
	return line, m.state.Seq(), m.hub.next()
}

// change returns the version now, and the channel that is closed at the next change.
func (m *machine) change() (seq uint64, moved <-chan struct{}) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Seq(), m.moved
}
