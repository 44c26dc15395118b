package server

import (
	"sync"
	"sync/atomic"
)

// watchVersions holds, for each open watch, the list's version that it was sent last.
type watchVersions struct {
	mu   sync.Mutex
	open map[*atomic.Uint64]bool
}

// add returns the version of a watch that has been sent nothing yet, for its owner to set.
func (v *watchVersions) add() *atomic.Uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.open == nil {
		v.open = make(map[*atomic.Uint64]bool)
	}
	version := new(atomic.Uint64)
	v.open[version] = true
	return version
}

func (v *watchVersions) remove(version *atomic.Uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.open, version)
}

// oldest returns the oldest version among the watches, or upTo if none is older.
func (v *watchVersions) oldest(upTo uint64) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	for version := range v.open {
		upTo = min(upTo, version.Load())
	}
	return upTo
}
