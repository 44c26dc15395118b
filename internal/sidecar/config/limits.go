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
	reservedSockets  = 32 // standard streams, listener, poller and descriptors that the runtime opens
	discoverySockets = 2

	// clientSocketTenths is how many tenths of the sockets are for clients. Clients get the larger part
	// because silent connections use some sockets until they are closed.
	clientSocketTenths = 6
	// idleSocketTenths is how many tenths of the clients' sockets may be idle. Clients count idle
	// connections against their own limits, and could not open new ones if each connection stayed open
	// after one request.
	idleSocketTenths = 3
	// One in waitingDivisor of the clients' sockets may wait to be admitted, and one in waitingDivisor may be
	// in the process of being refused, up to maxWaiting each. A longer queue would not serve requests
	// sooner, and its sockets would not be available for clearing a flood of connections.
	waitingDivisor = 32
	maxWaiting     = 8

	// One in perServerDivisor of the upstream sockets may be connected to the same server, so that a slow
	// server cannot use all of them.
	perServerDivisor = 2
	// One in handshakeDivisor of the upstream sockets, and at least minHandshakes, may be in a handshake at
	// the same time. Requests reuse idle connections except at startup and after a failure, when all
	// sidecars open new connections to the same servers.
	handshakeDivisor = 8
	minHandshakes    = 8
	// maxHandshakesPerServer is how many handshakes with one server may be in progress. A handshake costs the
	// server a twentieth of a request, and the traffic of one sidecar needs few new connections at a time.
	maxHandshakesPerServer = 4
)

// ClientLimits are the limits on connections to clients. Total, Waiting, Refusing and one more socket, for the
// connection just accepted, are the maximum number of sockets in use.
type ClientLimits struct {
	admission.Limits
	Waiting  int // connections that wait to be admitted
	Refusing int // connections in the process of being refused
}

// UpstreamLimits are the limits on connections to booking servers.
type UpstreamLimits struct {
	Total               int // to all servers
	PerServer           int
	Handshakes          int // in progress at once, with all servers
	HandshakesPerServer int
}

// ConnectionLimits are the limits on connections to clients and to booking servers.
type ConnectionLimits struct {
	Clients ClientLimits
	Servers UpstreamLimits
}

// SplitSockets divides the available sockets between clients and booking servers.
func (l *Limits) SplitSockets() (clients, upstreams int) {
	available := l.Sockets - reservedSockets - discoverySockets
	clients = available * clientSocketTenths / 10
	return clients, available - clients
}

// deriveConnectionLimits returns the limits of the table, with those that it leaves out derived from the
// number of sockets.
func deriveConnectionLimits(sockets Limits, table connectionsTable) (ConnectionLimits, error) {
	forClients, forServers := sockets.SplitSockets()
	waiting := min(forClients/waitingDivisor, maxWaiting)
	var l ConnectionLimits
	c, s := &l.Clients, &l.Servers
	c.Refusing = max(waiting, 1)
	c.Waiting = valueOr(table.Clients.Waiting, waiting)
	c.Total = valueOr(table.Clients.Total, max(1, forClients-c.Waiting-c.Refusing-1))
	c.PerAddress = valueOr(table.Clients.PerAddress, c.Total)
	c.HalfOpen = valueOr(table.Clients.HalfOpen, c.Total) // a lower limit would only slow down the clearing of a flood
	c.Idle = valueOr(table.Clients.Idle, min(c.Total, forClients*idleSocketTenths/10))
	s.Total = valueOr(table.Servers.Total, forServers)
	s.PerServer = valueOr(table.Servers.PerServer, max(1, s.Total/perServerDivisor))
	s.Handshakes = valueOr(table.Servers.Handshakes, min(s.Total, max(minHandshakes, s.Total/handshakeDivisor)))
	s.HandshakesPerServer = valueOr(table.Servers.HandshakesPerServer, min(s.PerServer, s.Handshakes, maxHandshakesPerServer))
	return l, l.check(sockets.Sockets)
}

func valueOr(configured *int, derived int) int {
	if configured != nil {
		return *configured
	}
	return derived
}

// check returns an error that names the first limit out of range.
func (l *ConnectionLimits) check(sockets int) error {
	type limit struct {
		name          string
		value         int
		lowest        int
		highest       int
		highestSource string
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
		if f.value < f.lowest {
			return fmt.Errorf("connections.%s is %d, at least %d is needed", f.name, f.value, f.lowest)
		}
		if f.value > f.highest {
			return fmt.Errorf("connections.%s is %d, more than the %d of %s", f.name, f.value, f.highest, f.highestSource)
		}
	}
	return l.checkSum(sockets)
}

// checkSum returns an error if the limits together need more sockets than the process has.
func (l *ConnectionLimits) checkSum(sockets int) error {
	c, s := l.Clients, l.Servers
	otherSockets := c.Refusing + 1 + reservedSockets + discoverySockets
	needed := c.Total + c.Waiting + s.Total + otherSockets
	if needed <= sockets {
		return nil
	}
	return fmt.Errorf("connections: the limits add up to %d sockets (clients.total %d, clients.waiting %d, servers.total %d, "+
		"%d for other purposes), limits.sockets allows %d", needed, c.Total, c.Waiting, s.Total, otherSockets, sockets)
}

// WithinPolicy returns the limits lowered to those of a fleet policy, if it has any.
func (l ConnectionLimits) WithinPolicy(d *rollout.Document) ConnectionLimits {
	if d != nil && d.MaxClientConnections > 0 {
		c := &l.Clients
		c.Total = min(c.Total, d.MaxClientConnections)
		c.PerAddress, c.HalfOpen, c.Idle = min(c.PerAddress, c.Total), min(c.HalfOpen, c.Total), min(c.Idle, c.Total)
	}
	if d != nil && d.MaxServerConnections > 0 {
		s := &l.Servers
		s.Total = min(s.Total, d.MaxServerConnections)
		s.PerServer, s.Handshakes = min(s.PerServer, s.Total), min(s.Handshakes, s.Total)
		s.HandshakesPerServer = min(s.HandshakesPerServer, s.PerServer, s.Handshakes)
	}
	return l
}

// parseConnections reads the connections table. Unknown keys are an error, because a misspelt limit would
// otherwise be ignored.
func parseConnections(text json.RawMessage) (connectionsTable, error) {
	var table connectionsTable
	if len(text) == 0 {
		return table, nil
	}
	var tables map[string]json.RawMessage
	if err := json.Unmarshal(text, &tables); err != nil {
		return table, fmt.Errorf("connections: an object is needed: %w", err)
	}
	for name, side := range tables {
		var err error
		switch name {
		case "clients":
			err = decodeLimits(name, side, &table.Clients)
		case "servers":
			err = decodeLimits(name, side, &table.Servers)
		default:
			err = fmt.Errorf("connections.%s: unknown table, want clients or servers", name)
		}
		if err != nil {
			return table, err
		}
	}
	return table, nil
}

// decodeLimits reads one side's limits.
func decodeLimits(name string, text json.RawMessage, target any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err := d.Decode(target)
	var wrongType *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &wrongType) && wrongType.Field != "":
		return fmt.Errorf("connections.%s.%s: a whole number is needed, not a %s", name, wrongType.Field, wrongType.Value)
	}
	return fmt.Errorf("connections.%s: %w", name, err)
}
