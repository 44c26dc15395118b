package policy

import (
	"cmp"
	"time"
)

const (
	// lowTrafficRate is the rate of own requests a second for each server below which traffic is low.
	lowTrafficRate = 1.0
	// assumedPerObjective is the number of requests within one objective that are assumed for each
	// server if no quota is known.
	assumedPerObjective = 8

	// A new value counts for one part in so many in these moving averages.
	classLatencyWindow   = 16
	overallLatencyWindow = 32
	averageWorkWindow    = 64
)

// traffic is what the Balancer knows about its traffic as a whole.
type traffic struct {
	quota            float64       // quotas of all tenants together, in requests a second
	averageObjective float64       // of all classes, in seconds
	usualLatency     time.Duration // moving average of an answer's time, over all classes
	averageWork      float64       // moving average of the expected work, in nanoseconds; 0: unknown
	low              bool          // too low to learn enough about each server
}

// observeLatency learns the time of a good answer.
func (t *traffic) observeLatency(c *class, took time.Duration) {
	c.usualLatency += (took - c.usualLatency) / classLatencyWindow
	t.usualLatency += (took - t.usualLatency) / overallLatencyWindow
}

// observeWork learns the work that requests are expected to need.
func (t *traffic) observeWork(work time.Duration) {
	switch {
	case work <= 0:
	case t.averageWork == 0:
		t.averageWork = float64(work)
	default:
		t.averageWork += (float64(work) - t.averageWork) / averageWorkWindow
	}
}

// relativeWork is a request's expected work relative to the average; 1 if one of them is unknown.
func (t *traffic) relativeWork(r *request) float64 {
	if r.expectedWork <= 0 || t.averageWork <= 0 {
		return 1
	}
	return float64(r.expectedWork) / t.averageWork
}

// classifyTraffic decides whether traffic is low, and chooses the subset of servers for that case.
func (b *Balancer) classifyTraffic() {
	servers := float64(max(1, len(b.endpoints.servers)))
	rate := cmp.Or(b.traffic.quota/servers, assumedPerObjective/b.traffic.averageObjective) / float64(b.cfg.Balancers)
	b.traffic.low = b.cfg.MayProbe && rate < lowTrafficRate
	b.chooseSubset(rate / lowTrafficRate)
}
