package server

import (
	"fmt"
	"net/http"

	"barleywick/internal/registry"
)

// serveMetrics writes what is counted, in the text form that scrapers read.
func (r *Replica) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	s := r.Status()
	running, waiting := r.limiter.counts()
	flag := func(b bool) uint64 {
		if b {
			return 1
		}
		return 0
	}
	var entries uint64
	r.stateMachine.view(func(st *registry.State) { entries = uint64(st.Len()) })
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	for _, m := range []struct {
		name, kind, help string
		value            uint64
	}{
		{"leader", "gauge", "1 while this replica leads", flag(s.State == "leader")},
		{"ready", "gauge", "1 once it has caught up with its group", flag(s.Ready)},
		{"stale", "gauge", "1 while no leader is heard of", flag(s.Read == registry.ReadStale)},
		{"seq", "gauge", "version of the list", s.Seq},
		{"term", "gauge", "term of the group", s.Term},
		{"instances", "gauge", "instances in the list", entries},
		{"sessions", "gauge", "sessions that the leader follows", uint64(s.Sessions)},
		{"expiry_held", "gauge", "1 while too many sessions have ended at once", flag(s.ExpiryHeld)},
		{"expired_total", "counter", "instances removed for their silence", r.expired.Load()},
		{"writes_total", "counter", "commands that this replica had carried out", r.writes.Load()},
		{"refused_total", "counter", "calls told to come back", r.refusedCalls.Load()},
		{"calls", "gauge", "calls under way", uint64(running)},
		{"calls_waiting", "gauge", "calls that wait for their turn", uint64(waiting)},
		{"watches", "gauge", "watches open", uint64(s.Watches)},
		{"watches_cut_total", "counter", "watches cut as they took no lines", r.broadcaster.cutWatches.Load()},
		{"claims", "gauge", "claims on leases that the leader follows", uint64(s.Claims)},
		{"lease_renewals_total", "counter", "claims on leases that this replica renewed", r.renewals.Load()},
		{"lease_grants_total", "counter", "leases granted by calls that this replica took", r.granted.Load()},
		{"lease_ended_total", "counter", "claims on leases that ended as their time was up", r.ended.Load()},
		{"changes_total", "counter", "changes handed to the watches", r.broadcaster.eventCount.Load()},
		{"change_bytes_total", "counter", "bytes encoded for them, once for all watches", r.broadcaster.eventBytes.Load()},
	} {
		fmt.Fprintf(w, "# HELP registry_%s %s\n# TYPE registry_%[1]s %[3]s\nregistry_%[1]s %[4]d\n", m.name, m.help, m.kind, m.value)
	}
}
