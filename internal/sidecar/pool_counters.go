package sidecar

import "log/slog"

// poolCounters count what the pool decided, each decision apart.
type poolCounters struct {
	Reused      uint64 `json:"Reused"`      // requests given an idle connection
	Opened      uint64 `json:"Opened"`      // handshakes that succeeded
	DialFailed  uint64 `json:"DialFailed"`  // that failed
	Waited      uint64 `json:"Waited"`      // requests that found no idle connection
	LeftWaiting uint64 `json:"LeftWaiting"` // of those, given up before there was one
	Evicted     uint64 `json:"Evicted"`     // idle connections closed as another needed the place
	Expired     uint64 `json:"Expired"`     // idle for as long as an upstream keeps them
	Unneeded    uint64 `json:"Unneeded"`    // idle beyond what was in use at once lately
	Stale       uint64 `json:"Stale"`       // closed by the upstream, or with bytes that nobody asked for
	Distrusted  uint64 `json:"Distrusted"`  // idle to an upstream that fell silent
	Retired     uint64 `json:"Retired"`     // to an upstream that has gone or was replaced
	Drained     uint64 `json:"Drained"`     // to an upstream that drains
	Excess      uint64 `json:"Excess"`      // connections on which something came that belongs to no request
	Repeated    uint64 `json:"Repeated"`    // answers that were an earlier request's, and given to nobody
	ShortRest   uint64 `json:"ShortRest"`   // rests cut short for want of connections
	Local       uint64 `json:"Local"`       // handshakes that failed for want of something on this machine
}

// poolState is what is open at a moment.
type poolState struct {
	Open       int `json:"Open"`
	Idle       int `json:"Idle"`
	Resting    int `json:"Resting"`
	Handshakes int `json:"Handshakes"`
	Waiting    int `json:"Waiting"`
}

// counters returns what was counted so far, and what is open now.
func (p *pool) counters() (poolCounters, poolState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count, poolState{p.open, p.idle.Len(), len(p.quarantined), p.dialing, p.waiting}
}

// logCounters logs them.
func (p *pool) logCounters() {
	count, now := p.counters()
	slog.Info("upstream connections", "now", now, "counters", count)
}
