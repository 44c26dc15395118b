package emulator

import (
	"maps"
	"slices"
	"time"

	"barleywick/policy"
)

// Impact counts the load that a fleet causes besides serving, in one second. What is harmless in one sidecar
// may add up over a fleet.
type Impact struct {
	Sends                  int            `json:"sends"`
	Retries                map[string]int `json:"again,omitempty"` // by endingNames of the previous attempt
	Rejected               int            `json:"turned_away"`
	WastedWork             float64        `json:"wasted"` // work that served no client, in seconds on a core of speed 1
	Probes                 int            `json:"probes"`
	ProbesToFullQueues     int            `json:"probes_crowded"` // probes of servers whose queue was at least half full
	Handshakes             int            `json:"handshakes"`
	HandshakesToFullQueues int            `json:"handshakes_crowded"`
	ListCalls              int            `json:"list_calls"`
	ListFailed             int            `json:"list_failed"`
}

// impactAt returns the impact of the second that contains a time.
func (r *Record) impactAt(now time.Duration) *Impact {
	i := int((now - StartTime) / time.Second)
	return &r.Windows[max(0, min(len(r.Windows)-1, i))].Fleet
}

// endingNames are the keys of Impact.Retries, by the ending of the previous attempt.
var endingNames = map[policy.Ending]string{
	policy.Errored: "an error", policy.Rejected: "turned away", policy.TimedOut: "no answer in time", policy.NoConnection: "no connection",
	policy.Broken: "the connection broke", policy.Cancelled: "called off", policy.NotSent: "not sent",
}

func (h *Impact) countRetry(end policy.Ending) {
	if h.Retries == nil {
		h.Retries = make(map[string]int)
	}
	h.Retries[endingNames[end]]++
}

// TotalRetries returns how many attempts came after a request's first.
func (h *Impact) TotalRetries() (n int) {
	for _, k := range h.Retries {
		n += k
	}
	return n
}

// Impact returns the sum over the whole run.
func (r *Record) Impact() Impact {
	all := Impact{Retries: make(map[string]int)}
	for i := range r.Windows {
		h := &r.Windows[i].Fleet
		for _, cause := range slices.Sorted(maps.Keys(h.Retries)) {
			all.Retries[cause] += h.Retries[cause]
		}
		all.Sends += h.Sends
		all.Rejected += h.Rejected
		all.WastedWork += h.WastedWork
		all.Probes += h.Probes
		all.ProbesToFullQueues += h.ProbesToFullQueues
		all.Handshakes += h.Handshakes
		all.HandshakesToFullQueues += h.HandshakesToFullQueues
		all.ListCalls += h.ListCalls
		all.ListFailed += h.ListFailed
	}
	return all
}

// queueHalfFull reports whether a server's queue is at least half full.
func (s *Server) queueHalfFull() bool {
	return 2*len(s.queue) >= max(1, s.Kind.QueueCapacity*s.Kind.Cores)
}

// A run has recovered once at least recoveredShare was served in recoverySeconds consecutive seconds.
const (
	recoverySeconds = 3
	recoveredShare  = 0.95
)

// RecoveryTime returns the time from after until the start of the first recoverySeconds consecutive seconds
// in which nearly all of the requested weight is served; false if the run does not recover.
func (r *Record) RecoveryTime(after time.Duration) (time.Duration, bool) {
	good := 0
	for i := int(after / time.Second); i < len(r.Windows); i++ {
		if good++; r.Windows[i].WeightShare.Share() < recoveredShare {
			good = 0
		}
		if good == recoverySeconds {
			return time.Duration(i+1-recoverySeconds)*time.Second - after, true
		}
	}
	return 0, false
}
