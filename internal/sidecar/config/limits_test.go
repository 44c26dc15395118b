package config

import (
	"strings"
	"testing"
)

func TestConnectionLimits(t *testing.T) {
	sockets := Limits{Sockets: 256}
	for name, c := range map[string]struct{ text, want string }{
		"nothing set":      {``, ""},
		"all of them":      {`{"clients":{"total":60,"per_address":20,"half_open":30,"idle":10,"waiting":4},"servers":{"total":80,"per_server":20,"handshakes":8,"handshakes_per_server":2}}`, ""},
		"no object":        {`7`, "connections: an object"},
		"unknown side":     {`{"peers":{}}`, "connections.peers"},
		"unknown key":      {`{"clients":{"totl":1}}`, `connections.clients: json: unknown field "totl"`},
		"a string":         {`{"servers":{"total":"many"}}`, "connections.servers.total: a whole number"},
		"half a number":    {`{"servers":{"total":1.5}}`, "connections.servers.total: a whole number"},
		"negative":         {`{"clients":{"idle":-1}}`, "connections.clients.idle is -1"},
		"none":             {`{"clients":{"total":0}}`, "connections.clients.total is 0"},
		"more than all":    {`{"clients":{"total":10,"per_address":11}}`, "connections.clients.per_address is 11, more than the 10 of connections.clients.total"},
		"half open":        {`{"clients":{"total":10,"half_open":11}}`, "connections.clients.half_open"},
		"one server's":     {`{"servers":{"total":10,"per_server":11}}`, "connections.servers.per_server"},
		"its handshakes":   {`{"servers":{"handshakes":2,"handshakes_per_server":3}}`, "connections.servers.handshakes_per_server"},
		"beyond sockets":   {`{"clients":{"total":100},"servers":{"total":150}}`, "limits.sockets allows 256"},
		"absurd":           {`{"clients":{"total":99999999999}}`, "connections.clients.total is 99999999999"},
		"beyond a machine": {`{"clients":{"total":99999999999999999999}}`, "connections.clients.total"},
	} {
		table, err := parseConnections([]byte(c.text))
		if err == nil {
			_, err = deriveConnectionLimits(sockets, table)
		}
		if (err == nil) != (c.want == "") || (err != nil && (!strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n"))) {
			t.Errorf("%s: got error %v, want one with %q", name, err, c.want)
		}
	}
	for n := MinSockets; n < 5000; n += 7 { // the derived limits are valid for any number of sockets
		if l, err := deriveConnectionLimits(Limits{Sockets: n}, connectionsTable{}); err != nil {
			t.Errorf("%d sockets: got error %v, limits %+v; want no error", n, err, l)
		}
	}
}

// Accepted limits are complete and fit the sockets; all others are rejected.
func FuzzConnections(f *testing.F) {
	f.Add([]byte(`{"clients":{"total":60,"per_address":20,"half_open":30,"idle":10,"waiting":4},"servers":{"total":80}}`), 256)
	f.Add([]byte(`{"servers":{"handshakes":-1}}`), 64)
	f.Add([]byte(`{"clients":null,"servers":[]}`), 1024)
	f.Fuzz(func(t *testing.T, text []byte, sockets int) {
		if sockets < MinSockets {
			return
		}
		table, err := parseConnections(text)
		if err != nil {
			return
		}
		if l, err := deriveConnectionLimits(Limits{Sockets: sockets}, table); err == nil {
			if l.Clients.Total+l.Clients.Waiting+l.Clients.Refusing+l.Servers.Total >= sockets || l.Clients.Total < 1 || l.Servers.HandshakesPerServer < 1 {
				t.Errorf("%s at %d sockets: got limits %+v, want ones that fit the sockets and are at least 1", text, sockets, l)
			}
		}
	})
}
