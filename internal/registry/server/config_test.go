package server

import (
	"strings"
	"testing"
)

func TestParseConfig(t *testing.T) {
	const one = `{"group":"g","id":"r0","data":"/tmp/x","replicas":[{"id":"r0","http":"127.0.0.1:1","raft":"127.0.0.1:2"}]}`
	if c, err := ParseConfig([]byte(one)); err != nil || c.Limits.Watches != defaultWatches || c.electionTimeout() != defaultElection {
		t.Errorf("got %+v, error %v; want the defaults", c, err)
	}
	for name, change := range map[string][2]string{
		"unreadable":       {`{`, `(`},
		"unknown key":      {`"group"`, `"grope":1,"group"`},
		"no group":         {`"g"`, `""`},
		"another id":       {`"id":"r0","data"`, `"id":"r1","data"`},
		"no data":          {`/tmp/x`, ``},
		"another network":  {`127.0.0.1:1`, `192.0.2.1:1`},
		"no port":          {`127.0.0.1:1`, `127.0.0.1`},
		"the same address": {`127.0.0.1:2`, `127.0.0.1:1`},
		"two replicas":     {`"replicas":[`, `"replicas":[{"id":"r1","http":"127.0.0.1:3","raft":"127.0.0.1:4"},`},
		"no replicas":      {`[{"id":"r0","http":"127.0.0.1:1","raft":"127.0.0.1:2"}]`, `[]`},
		"invalid floor":    {`{"group"`, `{"sessions":{"floor":2},"group"`},
		"no calls":         {`{"group"`, `{"limits":{"calls":0},"group"`},
		"short election":   {`{"group"`, `{"timing":{"election_ms":1},"group"`},
	} {
		if _, err := ParseConfig([]byte(strings.Replace(one, change[0], change[1], 1))); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want one line", name, err)
		}
	}
}

// FuzzConfig checks that a configuration accepted by ParseConfig is usable.
func FuzzConfig(f *testing.F) {
	f.Add([]byte(`{"group":"g","id":"r0","data":"/tmp/x","replicas":[{"id":"r0","http":"127.0.0.1:1","raft":"127.0.0.1:2"}]}`))
	f.Add([]byte(`{"timing":{"election_ms":-1},"sessions":{"floor":1e999}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := ParseConfig(text)
		if err != nil {
			return
		}
		if _, ok := c.findSelf(); !ok || c.electionTimeout() <= 0 || c.Limits.Calls < 1 {
			t.Errorf("accepted a configuration without an entry for this replica, an election timeout above 0 or limits.calls of at least 1: %+v", c)
		}
	})
}
