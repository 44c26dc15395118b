package server

import (
	"errors"
	"log/slog"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

const (
	// termKey is the key under which Raft stores the current term.
	termKey = "CurrentTerm"
	// foundingTerm is the term of the first entry, the group's first configuration.
	foundingTerm = 1
	// termRetryInterval is the time between two tries to store the term on a full disk.
	termRetryInterval = 50 * time.Millisecond
)

// waitingTermStore is where Raft stores its term and its vote. Raft ends the process if
// the term cannot be stored. On a full disk it waits here instead: the replica takes no
// part in elections, and goes on serving its list. A vote that cannot be stored is not
// given.
type waitingTermStore struct {
	raft.StableStore
	calls   *diskCalls
	closing chan struct{}

	mu             sync.Mutex
	wanted, stored uint64 // the latest term that Raft wanted stored, and the one that is

	waiting atomic.Int64 // calls that wait for space on the disk
}

func newWaitingTermStore(store raft.StableStore) *waitingTermStore {
	return &waitingTermStore{StableStore: store, calls: new(diskCalls), closing: make(chan struct{})}
}

// Set stores a value.
func (s *waitingTermStore) Set(key, value []byte) error {
	return s.calls.write("vote", func() error { return s.StableStore.Set(key, value) })
}

// SetUint64 stores a number. For the term it returns only once that is on disk.
func (s *waitingTermStore) SetUint64(key []byte, value uint64) error {
	if string(key) != termKey {
		return s.calls.write("vote", func() error { return s.StableStore.SetUint64(key, value) })
	}
	err := s.storeTerm(key, value)
	if err == nil {
		return nil
	}
	if !errors.Is(err, errWritesRefused) {
		slog.Error("raft: term not stored, replica takes no part until it is", "term", value, "err", err)
	}
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	for {
		select {
		case <-time.After(termRetryInterval):
		case <-s.closing:
			// Raft would end the process if an error was returned, and would continue in a
			// term that is not stored if none was. Its goroutine ends here instead; Raft
			// counts it as ended, as it would after a return.
			runtime.Goexit()
		}
		if s.storeTerm(key, value) == nil {
			return nil
		}
	}
}

// storeTerm stores the latest term that was wanted: Raft calls from two goroutines, and
// the one that waited longest must not set the term back.
func (s *waitingTermStore) storeTerm(key []byte, term uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wanted = max(s.wanted, term); term <= s.stored {
		return nil
	}
	err := s.calls.write("term", func() error { return s.StableStore.SetUint64(key, s.wanted) })
	if err == nil {
		s.stored = s.wanted
	}
	return err
}
