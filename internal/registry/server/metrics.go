package server

import (
	"fmt"
	"net/http"

	"barleywick/internal/registry"
)

// metric is one sample in the Prometheus text format. Its exported name is registry_ followed by name.
type metric struct {
	name, kind, help string
	value            uint64
}

const (
	gauge   = "gauge"
	counter = "counter"
)

// serveMetrics serves the replica's metrics in the Prometheus text format.
func (r *Replica) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	for _, m := range r.metrics() {
		fmt.Fprintf(w, "# HELP registry_%s %s\n# TYPE registry_%[1]s %[3]s\nregistry_%[1]s %[4]d\n", m.name, m.help, m.kind, m.value)
	}
}

func (r *Replica) metrics() []metric {
	s := r.Status()
	running, waiting := r.limiter.counts()
	var instances int
	r.stateMachine.view(func(state *registry.State) { instances = state.Len() })
	return []metric{
		{"leader", gauge, "1 while this replica leads", boolMetric(s.State == "leader")},
		{"ready", gauge, "1 once it has caught up with its group", boolMetric(s.Ready)},
		{"stale", gauge, "1 while no leader is heard of", boolMetric(s.Read == registry.ReadStale)},
		{"seq", gauge, "version of the list", s.Seq},
		{"term", gauge, "term of the group", s.Term},
		{"instances", gauge, "instances in the list", uint64(instances)},
		{"sessions", gauge, "sessions that the leader follows", uint64(s.Sessions)},
		{"expiry_held", gauge, "1 while too many sessions have ended at once", boolMetric(s.ExpiryHeld)},
		{"expired_total", counter, "instances removed for their silence", r.counters.expiredInstances.Load()},
		{"writes_total", counter, "commands that this replica had carried out", r.counters.writes.Load()},
		{"refused_total", counter, "calls told to come back", r.counters.refusedCalls.Load()},
		{"calls", gauge, "calls under way", uint64(running)},
		{"calls_waiting", gauge, "calls that wait for their turn", uint64(waiting)},
		{"watches", gauge, "watches open", uint64(s.Watches)},
		{"watches_cut_total", counter, "watches cut as they took no lines", r.broadcaster.cutWatches.Load()},
		{"claims", gauge, "claims on leases that the leader follows", uint64(s.Claims)},
		{"lease_renewals_total", counter, "claims on leases that this replica renewed", r.counters.renewedClaims.Load()},
		{"lease_grants_total", counter, "leases granted by calls that this replica took", r.counters.grantedLeases.Load()},
		{"lease_ended_total", counter, "claims on leases that ended as their time was up", r.counters.expiredClaims.Load()},
		{"changes_total", counter, "changes handed to the watches", r.broadcaster.eventCount.Load()},
		{"change_bytes_total", counter, "bytes encoded for them, once for all watches", r.broadcaster.eventBytes.Load()},
	}
}

func boolMetric(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}
