package client

import (
	"sync"
	"time"
)

// WatchStatus describes what a Watcher's list rests on at a moment.
type WatchStatus struct {
	Open bool // a watch is open, and something has arrived on it
	// For is the time since the watch has been open or, if none is, since the last one ended or the watcher was created.
	For time.Duration
	// ListAge is the time since the last list, change or heartbeat, or since the watcher was created.
	ListAge time.Duration
}

// watchRecord records the state of a watch. Its methods may be called concurrently.
type watchRecord struct {
	mu          sync.Mutex
	open        bool
	since       time.Time // when open changed last
	lastMessage time.Time
}

func newWatchRecord(now time.Time) *watchRecord { return &watchRecord{since: now, lastMessage: now} }

// message records that a list, a change or a heartbeat has arrived.
func (r *watchRecord) message(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastMessage = now
}

// setOpen records whether a watch is open.
func (r *watchRecord) setOpen(now time.Time, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open != r.open {
		r.open, r.since = open, now
	}
}

func (r *watchRecord) status(now time.Time) WatchStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return WatchStatus{Open: r.open, For: now.Sub(r.since), ListAge: now.Sub(r.lastMessage)}
}
