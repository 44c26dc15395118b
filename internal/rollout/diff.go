package rollout

import (
	"fmt"
	"slices"
)

// Diff tells in words and figures what a change changes, a line each.
func Diff(from, to *Document) (lines []string) {
	say := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	if from.Mode != to.Mode {
		say("mode: %s, was %s", to.Mode, from.Mode)
	}
	number := func(name string, was, is int) {
		word := func(n int) string {
			if n == 0 {
				return "as configured"
			}
			return fmt.Sprint(n)
		}
		if was != is {
			say("%s: %s, was %s", name, word(is), word(was))
		}
	}
	number("most_tries", from.MaxAttempts, to.MaxAttempts)
	number("client_connections", from.MaxClientConnections, to.MaxClientConnections)
	number("server_connections", from.MaxServerConnections, to.MaxServerConnections)
	if from.NoProbes != to.NoProbes {
		say("no_probes: %v, was %v", to.NoProbes, from.NoProbes)
	}
	for _, t := range from.Tenants {
		o := to.Tenant(t.Name)
		switch gone := !slices.ContainsFunc(to.Tenants, func(o Tenant) bool { return o.Name == t.Name }); {
		case gone:
			say("tenant %s: removed, had %d slots and %d places at each sidecar", t.Name, t.Slots, t.QueuePlaces)
		case o != t:
			say("tenant %s: %d slots and %d places at each sidecar, was %d and %d", t.Name, o.Slots, o.QueuePlaces, t.Slots, t.QueuePlaces)
		}
	}
	for _, t := range to.Tenants {
		if !slices.ContainsFunc(from.Tenants, func(o Tenant) bool { return o.Name == t.Name }) {
			say("tenant %s: new, %d slots and %d places at each sidecar", t.Name, t.Slots, t.QueuePlaces)
		}
	}
	return lines
}
