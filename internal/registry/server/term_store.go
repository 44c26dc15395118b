package server

import (
	"log/slog"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// termKey is what Raft keeps the current term under.
const termKey = "CurrentTerm"

// termRetryInterval is between two tries to keep the term on a disk that is full.
const termRetryInterval = 50 * time.Millisecond

// waitingTermStore is where Raft keeps its term and its vote. Raft ends the process when the
// term cannot be kept; on a disk that is full it has to wait here instead, as a replica
// that takes no part, whose list is served on. A vote that cannot be kept is not given.
type waitingTermStore struct {
	raft.StableStore
	closing chan struct{}

	mu             sync.Mutex
	wanted, stored uint64 // the latest term that Raft wanted kept, and that is

	waiting atomic.Int64
}

func newWaitingTermStore(s raft.StableStore) *waitingTermStore {
	return &waitingTermStore{StableStore: s, closing: make(chan struct{})}
}

// SetUint64 keeps a number. It returns for a term when that is on disk.
func (p *waitingTermStore) SetUint64(key []byte, value uint64) error {
	if string(key) != termKey {
		return p.StableStore.SetUint64(key, value)
	}
	for tries := 0; ; tries++ {
		err := p.storeTerm(key, value)
		if err == nil {
			return nil
		}
		if tries == 0 {
			slog.Error("the term cannot be written: this replica takes no part until it can", "term", value, "err", err)
			p.waiting.Add(1)
			defer p.waiting.Add(-1)
		}
		select {
		case <-time.After(termRetryInterval):
		case <-p.closing:
			// Raft would end the process at an error, and go on in a term that is not kept at
			// none. Its goroutine ends here; Raft counts it out as it would at its return.
			runtime.Goexit()
		}
	}
}

// storeTerm writes the latest term that was wanted: Raft asks from two goroutines, and the one
// that waits longest must not be the last word.
func (p *waitingTermStore) storeTerm(key []byte, term uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wanted = max(p.wanted, term); term <= p.stored {
		return nil
	}
	err := p.StableStore.SetUint64(key, p.wanted)
	if err == nil {
		p.stored = p.wanted
	}
	return err
}
