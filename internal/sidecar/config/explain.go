package config

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"barleywick/policy"
)

// Explain writes a table of the values that the configuration results in, with the keys that they are
// derived from. It starts nothing.
func (c *Config) Explain(w io.Writer) error {
	balancer, err := policy.New(c.Policy, c.Seed, nil) // no host is needed, since it is not started
	if err != nil {
		return err
	}
	e := &explainer{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	c.explainProcess(e)
	c.explainRequests(e)
	c.explainBulkheads(e, balancer)
	c.explainEndpoints(e)
	c.explainConnections(e)
	c.explainOptionalParts(e)
	return errors.Join(e.err, e.w.Flush())
}

// explainer writes a table with the columns name, value and keys.
type explainer struct {
	w   *tabwriter.Writer
	err error
}

// line adds a line: the name of a value, the keys that it is derived from, and the value itself.
func (e *explainer) line(name, keys, format string, args ...any) {
	_, err := fmt.Fprintf(e.w, "%s\t%s\t%s\n", name, fmt.Sprintf(format, args...), keys)
	e.err = errors.Join(e.err, err)
}

func (c *Config) explainProcess(e *explainer) {
	e.line("name", "name, ROUTER_NAME", "%s", c.Name)
	e.line("listens on", "listen, ROUTER_LISTEN", "%s", c.Listen)
	e.line("discovery", "discovery, ROUTER_DISCOVERY, discovery_replicas", "%v", c.DiscoveryAddrs())
	known := 0
	if c.KnownEndpoints != nil {
		known = len(c.KnownEndpoints.Endpoints)
	}
	e.line("booking servers known at the start", "known", "%d", known)
	e.line("cores, memory, sockets", "limits", "%g, %d MB, %d", c.Limits.Cores, c.Limits.MemoryMB, c.Limits.Sockets)
}

func (c *Config) explainRequests(e *explainer) {
	p := c.Policy
	e.line("sidecars in the fleet", "settings.balancers", "%d", p.Balancers)
	e.line("attempts for a request", "settings.caps.most_tries", "%d", p.MaxAttempts)
	e.line("longest Retry-After", "settings.caps.max_retry_after_ms", "%v", p.MaxRetryAfter)
	for i, class := range p.Classes {
		e.line("class "+c.Classes[i], "settings.classes", "latency objective %v, deadline %v, priority weight %g, %s",
			class.LatencyObjective, class.Deadline, class.PriorityWeight, describeIdempotency(class))
	}
}

func (c *Config) explainBulkheads(e *explainer, balancer *policy.Balancer) {
	tenants := c.Tenants
	if len(tenants) == 0 {
		tenants = []string{"(one for all)"}
	}
	for i, name := range tenants {
		if slots := balancer.SlotsFree(i); slots > 0 {
			e.line("bulkhead "+name, "share and quota in settings.orgs", "%d slots, %d queue places", slots, balancer.QueueFree(i))
		} else {
			e.line("bulkhead "+name, "settings.orgs names no quota", "sized by the first endpoint list")
		}
	}
}

func (c *Config) explainEndpoints(e *explainer) {
	p := c.Policy
	e.line("a change of the endpoint list counts as notified after", "settings.rules.ask_within_ms", "%s", durationOrNone(p.PollDeadline))
	e.line("forwarding to a draining server stops within", "settings.rules.stop_sending_within_ms", "%s", durationOrNone(p.DrainGrace))
	e.line("a server that warms up", "settings.rules.cold_*, fall_multiple", "starts at %g of its capacity, has all of it after %v, fails at %g times its present capacity",
		p.SlowStartFloor, p.SlowStartWindow, p.OverloadFactor)
}

func (c *Config) explainConnections(e *explainer) {
	e.line("connect timeout", "settings.caps.dial_timeout_ms", "%v", c.DialTimeout)
	e.line("servers close idle connections after", "settings.caps.conn_idle_ms", "%v", c.UpstreamIdleTimeout)
	clients, servers := c.Connections.Clients, c.Connections.Servers
	e.line("client connections", "connections.clients, limits.sockets", "%d; %d of one address, %d without a complete header, %d idle, %d waiting",
		clients.Total, clients.PerAddress, clients.HalfOpen, clients.Idle, clients.Waiting)
	e.line("server connections", "connections.servers, limits.sockets", "%d; %d to one server; handshakes %d, %d to one server",
		servers.Total, servers.PerServer, servers.Handshakes, servers.HandshakesPerServer)
}

func (c *Config) explainOptionalParts(e *explainer) {
	if c.Metrics.Listen != "" {
		e.line("metrics", "metrics.listen", "http://%s/metrics, by sidecar-metrics", c.Metrics.Listen)
	}
	if c.Takeover != nil {
		e.line("take-over", "takeover", "a successor process requests the hand-over at %s", c.Takeover.Socket)
	}
}

// describeIdempotency describes whether requests of a class may be repeated.
func describeIdempotency(class policy.Class) string {
	switch class.Idempotency {
	case policy.Idempotent:
		return "idempotent: may be repeated"
	case policy.IdempotentByKey:
		scope := map[policy.DedupScope]string{
			policy.ScopeAll: "all servers", policy.ScopeZone: "the servers of a zone", policy.ScopeCell: "the servers of a cell",
		}
		return fmt.Sprintf("idempotent by key: repeats dropped by %s for %v", scope[class.DedupScope], class.DedupWindow)
	}
	return "non-idempotent: must never run twice"
}

func durationOrNone(d time.Duration) string {
	if d <= 0 {
		return "not set"
	}
	return d.String()
}
