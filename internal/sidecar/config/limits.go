package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"barleywick/internal/admission"
	"barleywick/internal/rollout"
)

const (
	reservedSockets  = 32 // standard streams, the listener, the poller and what the runtime opens
	discoverySockets = 2

	// clientSocketTenths is how many tenths of the sockets are for clients: those that
	// say nothing take some, until they are closed.
	clientSocketTenths = 6
	// idleSocketTenths is how many tenths of the clients' may be idle. Clients count those
	// too as theirs, and where each asks once and stays they could soon open no more.
	idleSocketTenths = 3
	// waitingDivisor is which part of the clients' sockets may wait for a place, and
	// which may be held by connections being told that there is none.
	// They are few: a longer queue serves nobody sooner, and each in it is a place
	// less, which is what clears a flood.
	waitingDivisor = 32
	maxWaiting     = 8

	// perServerDivisor is which part of the upstreams' sockets one of them may hold: one
	// that is slow must leave some to the others.
	perServerDivisor = 2
	// handshakeDivisor is which part may be in a handshake at once, and leastHandshakes
	// how many in any case. Requests find idle connections but for the first moments
	// and after a failure; then all sidecars open new ones at the same servers.
	handshakeDivisor = 8
	minHandshakes    = 8
	// maxHandshakesPerServer may be under way to one upstream. A handshake costs it a
	// twentieth of a request, and one sidecar's traffic needs few new ones at a time.
	maxHandshakesPerServer = 4
)

// ClientLimits bound the connections to clients. All of them together are
// sockets: places, those that wait, one in hand and those being told.
type ClientLimits struct {
	admission.Limits
	Waiting  int // may wait for a place
	Refusing int // may be in the middle of being refused
}

// UpstreamLimits bound the connections to upstreams.
type UpstreamLimits struct {
	Total               int // of all upstreams
	PerServer           int
	Handshakes          int // under way at once, to all of them
	HandshakesPerServer int
}

// ConnectionLimits are the limits of both sides.
type ConnectionLimits struct {
	Clients ClientLimits
	Servers UpstreamLimits
}

// SplitSockets divides the sockets between the two sides.
func (l Limits) SplitSockets() (clients, upstreams int) {
	most := l.Sockets - reservedSockets - discoverySockets
	clients = most * clientSocketTenths / 10
	return clients, most - clients
}

// deriveConnectionLimits are the limits that follow from the sockets given, and from what the
// configuration says instead.
func deriveConnectionLimits(sockets Limits, said connectionsConfig) (ConnectionLimits, error) {
	forClients, forServers := sockets.SplitSockets()
	wait := min(forClients/waitingDivisor, maxWaiting)
	var l ConnectionLimits
	c, s := &l.Clients, &l.Servers
	c.Refusing = max(wait, 1)
	c.Waiting = valueOr(said.Clients.Waiting, wait)
	c.Total = valueOr(said.Clients.Total, max(1, forClients-c.Waiting-c.Refusing-1))
	c.PerAddress = valueOr(said.Clients.PerAddress, c.Total)
	c.HalfOpen = valueOr(said.Clients.HalfOpen, c.Total) // less would but slow down the clearing of a flood
	c.Idle = valueOr(said.Clients.Idle, min(c.Total, forClients*idleSocketTenths/10))
	s.Total = valueOr(said.Servers.Total, forServers)
	s.PerServer = valueOr(said.Servers.PerServer, max(1, s.Total/perServerDivisor))
	s.Handshakes = valueOr(said.Servers.Handshakes, min(s.Total, max(minHandshakes, s.Total/handshakeDivisor)))
	s.HandshakesPerServer = valueOr(said.Servers.HandshakesPerServer, min(s.PerServer, s.Handshakes, maxHandshakesPerServer))
	return l, l.check(sockets.Sockets)
}

func valueOr(said *int, derived int) int {
	if said != nil {
		return *said
	}
	return derived
}

// check returns an error that names the first limit that cannot be.
func (l ConnectionLimits) check(sockets int) error {
	type limit struct {
		name        string
		value       int
		least, most int
		mostName    string
	}
	c, s := l.Clients, l.Servers
	for _, f := range []limit{
		{"clients.total", c.Total, 1, sockets, "limits.sockets"},
		{"clients.per_address", c.PerAddress, 1, c.Total, "connections.clients.total"},
		{"clients.half_open", c.HalfOpen, 1, c.Total, "connections.clients.total"},
		{"clients.idle", c.Idle, 0, c.Total, "connections.clients.total"},
		{"clients.waiting", c.Waiting, 0, sockets, "limits.sockets"},
		{"servers.total", s.Total, 1, sockets, "limits.sockets"},
		{"servers.per_server", s.PerServer, 1, s.Total, "connections.servers.total"},
		{"servers.handshakes", s.Handshakes, 1, s.Total, "connections.servers.total"},
		{"servers.handshakes_per_server", s.HandshakesPerServer, 1, min(s.Handshakes, s.PerServer), "connections.servers.handshakes or per_server"},
	} {
		if f.value < f.least {
			return fmt.Errorf("connections.%s is %d, at least %d is needed", f.name, f.value, f.least)
		}
		if f.value > f.most {
			return fmt.Errorf("connections.%s is %d, more than the %d of %s", f.name, f.value, f.most, f.mostName)
		}
	}
	needed := c.Total + c.Waiting + c.Refusing + 1 + s.Total + reservedSockets + discoverySockets
	if needed > sockets {
		return fmt.Errorf("connections: the limits add up to %d sockets (clients.total %d, clients.waiting %d, servers.total %d, "+
			"%d for the rest), limits.sockets allows %d", needed, c.Total, c.Waiting, s.Total, needed-c.Total-c.Waiting-s.Total, sockets)
	}
	return nil
}

// connectionsConfig is the configuration's optional object 'connections'. What it
// leaves out is derived.
type connectionsConfig struct {
	Clients struct {
		Total      *int `json:"total"`
		PerAddress *int `json:"per_address"`
		HalfOpen   *int `json:"half_open"`
		Idle       *int `json:"idle"`
		Waiting    *int `json:"waiting"`
	} `json:"clients"`
	Servers struct {
		Total               *int `json:"total"`
		PerServer           *int `json:"per_server"`
		Handshakes          *int `json:"handshakes"`
		HandshakesPerServer *int `json:"handshakes_per_server"`
	} `json:"servers"`
}

// parseConnectionsConfig reads that object. A key that is not known is an error: a
// limit that is misspelt would not be in force.
func parseConnectionsConfig(text json.RawMessage) (connectionsConfig, error) {
	var said connectionsConfig
	if len(text) == 0 {
		return said, nil
	}
	var parts map[string]json.RawMessage
	if err := json.Unmarshal(text, &parts); err != nil {
		return said, fmt.Errorf("connections: an object is needed: %w", err)
	}
	for name, part := range parts {
		var into any
		switch name {
		case "clients":
			into = &said.Clients
		case "servers":
			into = &said.Servers
		default:
			return said, fmt.Errorf("connections.%s: unknown, there are clients and servers", name)
		}
		d := json.NewDecoder(bytes.NewReader(part))
		d.DisallowUnknownFields()
		if err := d.Decode(into); err != nil {
			var kind *json.UnmarshalTypeError
			if errors.As(err, &kind) && kind.Field != "" {
				return said, fmt.Errorf("connections.%s.%s: a whole number is needed, not a %s", name, kind.Field, kind.Value)
			}
			return said, fmt.Errorf("connections.%s: %w", name, err)
		}
	}
	return said, nil
}

// WithinPolicy are the limits that a policy leaves of those that are configured.
func (c ConnectionLimits) WithinPolicy(d *rollout.Document) ConnectionLimits {
	if d != nil && d.MaxClientConnections > 0 {
		k := &c.Clients
		k.Total = min(k.Total, d.MaxClientConnections)
		k.PerAddress, k.HalfOpen, k.Idle = min(k.PerAddress, k.Total), min(k.HalfOpen, k.Total), min(k.Idle, k.Total)
	}
	if d != nil && d.MaxServerConnections > 0 {
		s := &c.Servers
		s.Total = min(s.Total, d.MaxServerConnections)
		s.PerServer, s.Handshakes = min(s.PerServer, s.Total), min(s.Handshakes, s.Total)
		s.HandshakesPerServer = min(s.HandshakesPerServer, s.PerServer, s.Handshakes)
	}
	return c
}
