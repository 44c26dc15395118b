package config

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"barleywick/policy"
)

// Explain writes each figure that follows from the configuration, with where it
// comes from. It starts nothing.
func (c *Config) Explain(w io.Writer) error {
	b, err := policy.New(c.Policy, c.Seed, nil) // it is not started, so it needs no host
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	var wrong error
	line := func(name, from, format string, args ...any) {
		_, err := fmt.Fprintf(t, "%s\t%s\t%s\n", name, fmt.Sprintf(format, args...), from)
		wrong = errors.Join(wrong, err)
	}
	p := c.Policy
	line("name", "name, ROUTER_NAME", "%s", c.Name)
	line("listens on", "listen, ROUTER_LISTEN", "%s", c.Listen)
	line("discovery", "discovery, ROUTER_DISCOVERY, discovery_replicas", "%v", c.DiscoveryAddrs())
	known := 0
	if c.KnownEndpoints != nil {
		known = len(c.KnownEndpoints.Endpoints)
	}
	line("booking servers known at the start", "known", "%d", known)
	line("cores, memory, sockets", "limits", "%g, %d MB, %d", c.Limits.Cores, c.Limits.MemoryMB, c.Limits.Sockets)
	line("sidecars in the fleet", "settings.balancers", "%d", p.Balancers)
	line("attempts for a request", "settings.caps.most_tries", "%d", p.MaxAttempts)
	line("longest Retry-After", "settings.caps.max_retry_after_ms", "%v", p.MaxRetryAfter)
	for i, k := range p.Classes {
		line("class "+c.Classes[i], "settings.classes", "aim %v, deadline %v, worth %g, %s", k.LatencyObjective, k.Deadline, k.PriorityWeight, repeats(k))
	}
	tenants := c.Tenants
	if len(tenants) == 0 {
		tenants = []string{"(one for all)"}
	}
	for i, name := range tenants {
		if slots := b.SlotsFree(i); slots > 0 {
			line("compartment "+name, "share and quota in settings.orgs", "%d slots, %d queue places", slots, b.QueueFree(i))
		} else {
			line("compartment "+name, "settings.orgs names no quota", "sized by the first list of servers")
		}
	}
	line("a change of the list counts as told after", "settings.rules.ask_within_ms", "%s", orNone(p.PollDeadline))
	line("sends to a server that drains stop within", "settings.rules.stop_sending_within_ms", "%s", orNone(p.DrainGrace))
	line("a cold server", "settings.rules.cold_*, fall_multiple", "begins at %g of its capacity, is warm after %v, falls over at %g times what it can do",
		p.SlowStartFloor, p.SlowStartWindow, p.OverloadFactor)
	line("connecting is given up after", "settings.caps.dial_timeout_ms", "%v", c.DialTimeout)
	line("servers close idle connections after", "settings.caps.conn_idle_ms", "%v", c.UpstreamIdleTimeout)
	k, s := c.Connections.Clients, c.Connections.Servers
	line("client connections", "connections.clients, limits.sockets", "%d; %d of one address, %d without a whole header, %d idle, %d waiting",
		k.Total, k.PerAddress, k.HalfOpen, k.Idle, k.Waiting)
	line("server connections", "connections.servers, limits.sockets", "%d; %d to one server; handshakes %d, %d to one server",
		s.Total, s.PerServer, s.Handshakes, s.HandshakesPerServer)
	if c.Metrics.Listen != "" {
		line("metrics", "metrics.listen", "http://%s/metrics, by barleywick-metered", c.Metrics.Listen)
	}
	if c.Takeover != nil {
		line("take-over", "takeover", "a new process may take this one's place at %s", c.Takeover.Socket)
	}
	return errors.Join(wrong, t.Flush())
}

// repeats says in words what repeating a request of a class may do.
func repeats(c policy.Class) string {
	switch c.Idempotency {
	case policy.Idempotent:
		return "may be repeated"
	case policy.IdempotentByKey:
		scope := map[policy.DedupScope]string{policy.ScopeAll: "all servers", policy.ScopeZone: "the servers of a zone", policy.ScopeCell: "the servers of a cell"}
		return fmt.Sprintf("repeats dropped by %s for %v", scope[c.DedupScope], c.DedupWindow)
	}
	return "must never run twice"
}

func orNone(d time.Duration) string {
	if d <= 0 {
		return "no time is set"
	}
	return d.String()
}
