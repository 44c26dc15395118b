package emulator

import (
	"maps"
	"slices"
	"time"

	"barleywick/policy"
)

// Harm is what a fleet does beside serving, in one second: what is harmless in one
// sidecar may add up.
type Harm struct {
	Sends             int            `json:"sends"`
	Again             map[string]int `json:"again,omitempty"` // of them, those beyond a request's first, by how the one before ended
	TurnedAway        int            `json:"turned_away"`
	Wasted            float64        `json:"wasted"` // work for answers that served nobody, in seconds on a core of speed 1
	Probes            int            `json:"probes"`
	ProbesCrowded     int            `json:"probes_crowded"` // of them, those at servers whose waiting room was half full
	Handshakes        int            `json:"handshakes"`
	HandshakesCrowded int            `json:"handshakes_crowded"`
	ListCalls         int            `json:"list_calls"`
	ListFailed        int            `json:"list_failed"`
}

// harm is the account of the second that a time lies in.
func (r *Record) harm(now time.Duration) *Harm {
	i := int((now - Dawn) / time.Second)
	return &r.Windows[max(0, min(len(r.Windows)-1, i))].Fleet
}

// endings names how an attempt ended, for people.
var endings = map[policy.Ending]string{
	policy.Errored: "an error", policy.Rejected: "turned away", policy.TimedOut: "no answer in time", policy.NoConnection: "no connection",
	policy.Broken: "the connection broke", policy.Cancelled: "called off", policy.NotSent: "not sent",
}

func (h *Harm) again(end policy.Ending) {
	if h.Again == nil {
		h.Again = make(map[string]int)
	}
	h.Again[endings[end]]++
}

// AgainAll is how many sends were beyond a request's first.
func (h *Harm) AgainAll() (n int) {
	for _, k := range h.Again {
		n += k
	}
	return n
}

// Harm is that of the whole day.
func (r *Record) Harm() Harm {
	all := Harm{Again: make(map[string]int)}
	for i := range r.Windows {
		h := &r.Windows[i].Fleet
		for _, cause := range slices.Sorted(maps.Keys(h.Again)) {
			all.Again[cause] += h.Again[cause]
		}
		all.Sends += h.Sends
		all.TurnedAway += h.TurnedAway
		all.Wasted += h.Wasted
		all.Probes += h.Probes
		all.ProbesCrowded += h.ProbesCrowded
		all.Handshakes += h.Handshakes
		all.HandshakesCrowded += h.HandshakesCrowded
		all.ListCalls += h.ListCalls
		all.ListFailed += h.ListFailed
	}
	return all
}

// crowded says whether a server's waiting room is half full.
func (s *Server) crowded() bool { return 2*len(s.queue) >= max(1, s.Kind.Room*s.Kind.Cores) }

// backSeconds in a row have to be good for a day to be back, and backShare is good.
const (
	backSeconds = 3
	backShare   = 0.95
)

// Back is how long after a time of the day the first of three seconds in a row comes in
// which nearly all of the worth asked for is served; false where none does.
func (r *Record) Back(after time.Duration) (time.Duration, bool) {
	good := 0
	for i := int(after / time.Second); i < len(r.Windows); i++ {
		if good++; r.Windows[i].Part.Share() < backShare {
			good = 0
		}
		if good == backSeconds {
			return time.Duration(i+1-backSeconds)*time.Second - after, true
		}
	}
	return 0, false
}
