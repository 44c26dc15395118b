package server

import (
	"sync"
	"sync/atomic"
)

// watchVersions holds the last sent list version of each open watch.
type watchVersions struct {
	mu   sync.Mutex
	open map[*atomic.Uint64]bool
}

// add registers a watch and returns its version, which is 0 until the caller sets it.
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

// oldest returns the oldest version among the open watches, or upTo if none is older.
func (v *watchVersions) oldest(upTo uint64) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	for version := range v.open {
		upTo = min(upTo, version.Load())
	}
	return upTo
}
