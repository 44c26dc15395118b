package upstream

import (
	"log/slog"

	"barleywick/internal/sidecar/counters"
)

// Counters counts events on upstream connections. The tags are the names in the log and in metrics;
// docs/CONNECTIONS.md explains them.
type Counters struct {
	Reused             uint64 `json:"Reused"`      // requests that got an idle connection
	Opened             uint64 `json:"Opened"`      // handshakes that succeeded
	DialFailed         uint64 `json:"DialFailed"`  // handshakes that failed because of the server
	Waited             uint64 `json:"Waited"`      // requests that found no idle connection
	WaitsAbandoned     uint64 `json:"LeftWaiting"` // of Waited: cancelled or timed out without a connection
	Evicted            uint64 `json:"Evicted"`     // connections closed because of the limits
	Expired            uint64 `json:"Expired"`     // closed at their idle limit
	Unneeded           uint64 `json:"Unneeded"`    // closed because fewer connections were in use at once lately
	Stale              uint64 `json:"Stale"`       // found closed by the server, too old, or with surplus bytes
	Unresponsive       uint64 `json:"Distrusted"`  // closed because their server was unresponsive
	ServerRemoved      uint64 `json:"Retired"`     // closed because their server was removed or replaced
	ServerDraining     uint64 `json:"Drained"`     // closed because their server drains
	SurplusResponses   uint64 `json:"Excess"`      // surplus responses: bytes that belong to no request
	DuplicateResponses uint64 `json:"Repeated"`    // duplicate responses, dropped
	ShortQuarantines   uint64 `json:"ShortRest"`   // quarantines shortened because connections were scarce
	LocalFailures      uint64 `json:"Local"`       // handshakes that failed because of a shortage on this machine
}

// State holds the numbers of connections and waiting callers at one moment. The tags are names as in
// Counters.
type State struct {
	Open        int `json:"Open"` // handshakes in progress included
	Idle        int `json:"Idle"`
	Quarantined int `json:"Resting"` // in quarantine
	Handshakes  int `json:"Handshakes"`
	Waiting     int `json:"Waiting"` // requests waiting for a connection
}

// String formats the counters for the text log.
func (c Counters) String() string { return counters.Format(c) }

// String formats the state for the text log.
func (s State) String() string { return counters.Format(s) }

// Counters returns the counters and the current state.
func (p *Pool) Counters() (Counters, State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count, State{p.open, p.idle.Len(), len(p.quarantined), p.dialing, p.waiting}
}

// LogCounters logs the counters and the current state.
func (p *Pool) LogCounters() {
	count, now := p.Counters()
	slog.Info("upstream: connections", "now", now, "counters", count)
}
