package server

import (
	"sync"
	"sync/atomic"
)

// watchVersions are what each open watch has been sent.
type watchVersions struct {
	mu   sync.Mutex
	open map[*atomic.Uint64]bool
}

// add takes a watch in that has been sent nothing yet.
func (v *watchVersions) add() *atomic.Uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.open == nil {
		v.open = make(map[*atomic.Uint64]bool)
	}
	at := new(atomic.Uint64)
	v.open[at] = true
	return at
}

func (v *watchVersions) remove(at *atomic.Uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.open, at)
}

// oldest is the oldest version among the watches, or none where there is no watch.
func (v *watchVersions) oldest(none uint64) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	for at := range v.open {
		none = min(none, at.Load())
	}
	return none
}
