package sidecar

import (
	"log/slog"
	"time"

	"barleywick/internal/sidecar/outcome"
	"barleywick/internal/sidecar/overloadreporter"
	"barleywick/policy"
)

// requestObservers are notified of each request and attempt. They feed the fleet policy's comparison of
// canaries, the overload digests, metrics and the log.
type requestObservers struct {
	classes    []string
	tenants    []string
	objectives []policy.Class

	policy   requestRecorder          // nil: there is no fleet policy
	overload *overloadreporter.Counts // nil: no digests are reported
	exporter MetricsExporter          // nil: no metrics are exported
	trace    bool                     // log each attempt and response
}

// requestRecorder counts how requests end.
type requestRecorder interface{ RecordRequest(o outcome.Outcome) }

func (o *requestObservers) requestArrived(r *request) {
	if o.overload != nil {
		o.overload.RequestArrived(r.tenant)
	}
}

// requestAnswered is called when a request was answered.
func (o *requestObservers) requestAnswered(r *request, status int) {
	if o.policy == nil && o.overload == nil && o.exporter == nil && !o.trace {
		return
	}
	result := outcome.Of(status, time.Since(r.receivedAt), o.objectives[r.class].LatencyObjective)
	if o.policy != nil {
		o.policy.RecordRequest(result)
	}
	if o.overload != nil {
		o.overload.RequestEnded(r.tenant, result)
	}
	o.requestEnded(r, result)
}

// requestEnded is called for each request that ended, even without a response.
func (o *requestObservers) requestEnded(r *request, result outcome.Outcome) {
	if o.exporter == nil && !o.trace {
		return
	}
	took := time.Since(r.receivedAt)
	class, tenant := o.classes[r.class], o.tenants[r.tenant]
	if o.exporter != nil {
		o.exporter.RecordRequest(class, tenant, result.Label(), took)
	}
	if o.trace {
		slog.Debug("client: request ended", "request", r.ID, "class", class, "tenant", tenant,
			"outcome", result.Label(), "attempts", len(r.attempts), "took", took)
	}
}

func (o *requestObservers) attemptEnded(a *attempt, ending policy.Ending) {
	if !o.trace {
		return
	}
	host := ""
	if a.endpoint != nil {
		host = a.endpoint.entry.Host
	}
	slog.Debug("upstream: attempt ended", "request", a.request.ID, "attempt", a.number, "host", host,
		"ending", endingNames[ending], "took", time.Since(a.startedAt))
}

// endingNames are the names of attempt endings in the log.
var endingNames = map[policy.Ending]string{
	policy.Served: "served", policy.Errored: "error", policy.Rejected: "rejected", policy.TimedOut: "timed out",
	policy.NoConnection: "no connection", policy.Broken: "broken", policy.Cancelled: "cancelled", policy.NotSent: "not sent",
}
