package upstream

import "log/slog"

// Counters count what became of upstream connections. The tags are the names in the log and in
// metrics; docs/CONNECTIONS.md explains them.
type Counters struct {
	Reused      uint64 `json:"Reused"`      // requests that got an idle connection
	Opened      uint64 `json:"Opened"`      // handshakes that succeeded
	DialFailed  uint64 `json:"DialFailed"`  // handshakes that failed because of the server
	Waited      uint64 `json:"Waited"`      // requests that found no idle connection
	LeftWaiting uint64 `json:"LeftWaiting"` // of those that waited: given up before there was a connection
	Evicted     uint64 `json:"Evicted"`     // connections closed because of the limits
	Expired     uint64 `json:"Expired"`     // closed at their idle limit
	Unneeded    uint64 `json:"Unneeded"`    // closed because fewer were in use lately
	Stale       uint64 `json:"Stale"`       // found closed by the server, too old, or with surplus bytes
	Distrusted  uint64 `json:"Distrusted"`  // closed because their server was unresponsive
	Retired     uint64 `json:"Retired"`     // closed because their server was removed or replaced
	Drained     uint64 `json:"Drained"`     // closed because their server drains
	Excess      uint64 `json:"Excess"`      // surplus responses: bytes that belong to no request
	Repeated    uint64 `json:"Repeated"`    // duplicate responses, dropped
	ShortRest   uint64 `json:"ShortRest"`   // quarantines shortened because connections were scarce
	Local       uint64 `json:"Local"`       // handshakes that failed because of this machine
}

// State counts the connections and callers at one moment, under the same rule for the tags.
type State struct {
	Open       int `json:"Open"` // handshakes in progress included
	Idle       int `json:"Idle"`
	Resting    int `json:"Resting"` // in quarantine
	Handshakes int `json:"Handshakes"`
	Waiting    int `json:"Waiting"` // requests that wait for a connection
}

// Counters returns what was counted so far, and the state now.
func (p *Pool) Counters() (Counters, State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count, State{p.open, p.idle.Len(), len(p.quarantined), p.dialing, p.waiting}
}

// LogCounters logs what counters returns.
func (p *Pool) LogCounters() {
	count, now := p.Counters()
	slog.Info("upstream: connections", "now", now, "counters", count)
}
