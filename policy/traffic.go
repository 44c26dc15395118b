package policy

import (
	"cmp"
	"time"
)

const (
	// lowTrafficRate is the rate of this balancer's requests per server and second below which traffic is low.
	lowTrafficRate = 1.0
	// assumedRequestsPerObjective is the assumed number of requests per server within one latency objective if
	// no quota is known.
	assumedRequestsPerObjective = 8

	// Windows of the moving averages, in samples.
	classLatencyWindow   = 16
	overallLatencyWindow = 32
	averageWorkWindow    = 64
)

// traffic holds the statistics of a Balancer's traffic over all classes and tenants.
type traffic struct {
	quota            float64       // sum of the quotas of all tenants, in requests per second
	averageObjective float64       // mean latency objective of the classes, in seconds
	averageLatency   time.Duration // moving average of the latency of served requests
	averageWork      float64       // moving average of the expected work, in nanoseconds; 0: unknown
	low              bool          // too low to measure each server
}

// observeLatency updates the averages with the latency of a served request.
func (t *traffic) observeLatency(c *class, latency time.Duration) {
	c.averageLatency += (latency - c.averageLatency) / classLatencyWindow
	t.averageLatency += (latency - t.averageLatency) / overallLatencyWindow
}

// observeWork updates the average expected work of requests.
func (t *traffic) observeWork(work time.Duration) {
	switch {
	case work <= 0:
	case t.averageWork == 0:
		t.averageWork = float64(work)
	default:
		t.averageWork += (float64(work) - t.averageWork) / averageWorkWindow
	}
}

// relativeWork returns a request's expected work relative to the average; 1 if either is unknown.
func (t *traffic) relativeWork(r *request) float64 {
	if r.expectedWork <= 0 || t.averageWork <= 0 {
		return 1
	}
	return float64(r.expectedWork) / t.averageWork
}

// classifyTraffic determines whether traffic is low, and selects the subset of servers for that case.
func (b *Balancer) classifyTraffic() {
	servers := float64(max(1, len(b.endpoints.servers)))
	rate := cmp.Or(b.traffic.quota/servers, assumedRequestsPerObjective/b.traffic.averageObjective) / float64(b.cfg.Balancers)
	b.traffic.low = b.cfg.MayProbe && rate < lowTrafficRate
	b.chooseSubset(rate / lowTrafficRate)
}
