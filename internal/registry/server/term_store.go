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
	// termRetryInterval is the delay between attempts to store a term on a full disk.
	termRetryInterval = 50 * time.Millisecond
)

// retryingTermStore stores Raft's term and vote. Raft exits the process if it cannot store the
// term. On a full disk the call retries here instead: the replica takes no part in elections and
// continues to serve its list. A vote that cannot be stored is not granted.
type retryingTermStore struct {
	raft.StableStore
	calls   *diskCalls
	closing chan struct{}

	mu                sync.Mutex
	requested, stored uint64 // the latest term that Raft asked to store, and the latest term stored

	waiting atomic.Int64 // calls that are waiting for disk space
}

func newRetryingTermStore(store raft.StableStore) *retryingTermStore {
	return &retryingTermStore{StableStore: store, calls: new(diskCalls), closing: make(chan struct{})}
}

// Set stores a value.
func (s *retryingTermStore) Set(key, value []byte) error {
	return s.calls.write("vote", func() error { return s.StableStore.Set(key, value) })
}

// SetUint64 stores a number. For the term it returns only after the term is on disk.
func (s *retryingTermStore) SetUint64(key []byte, value uint64) error {
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
			// With an error Raft would exit the process, and without one it would continue in
			// a term that is not stored. End Raft's goroutine here instead; Raft's deferred
			// calls run, so it counts the goroutine as finished.
			runtime.Goexit()
		}
		if s.storeTerm(key, value) == nil {
			return nil
		}
	}
}

// storeTerm stores the latest requested term: Raft calls from two goroutines, and the one that has
// waited longest must not overwrite a later term.
func (s *retryingTermStore) storeTerm(key []byte, term uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requested = max(s.requested, term); term <= s.stored {
		return nil
	}
	err := s.calls.write("term", func() error { return s.StableStore.SetUint64(key, s.requested) })
	if err == nil {
		s.stored = s.requested
	}
	return err
}
