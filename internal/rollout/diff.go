package rollout

import "fmt"

// Diff returns the differences between two documents, one per line.
func Diff(from, to *Document) (lines []string) {
	add := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	if from.Mode != to.Mode {
		add("mode: %s, was %s", to.Mode, from.Mode)
	}
	for _, limit := range []struct {
		field    string
		old, new int
	}{
		{"most_tries", from.MaxAttempts, to.MaxAttempts},
		{"client_connections", from.MaxClientConnections, to.MaxClientConnections},
		{"server_connections", from.MaxServerConnections, to.MaxServerConnections},
	} {
		if limit.old != limit.new {
			add("%s: %s, was %s", limit.field, limitText(limit.new), limitText(limit.old))
		}
	}
	if from.NoProbes != to.NoProbes {
		add("no_probes: %v, was %v", to.NoProbes, from.NoProbes)
	}
	for _, old := range from.Tenants {
		switch t, kept := to.findTenant(old.Name); {
		case !kept:
			add("tenant %s: removed, had %d slots and %d places at each sidecar", old.Name, old.Slots, old.QueuePlaces)
		case t != old:
			add("tenant %s: %d slots and %d places at each sidecar, was %d and %d", old.Name, t.Slots, t.QueuePlaces, old.Slots, old.QueuePlaces)
		}
	}
	for _, t := range to.Tenants {
		if _, existed := from.findTenant(t.Name); !existed {
			add("tenant %s: new, %d slots and %d places at each sidecar", t.Name, t.Slots, t.QueuePlaces)
		}
	}
	return lines
}

func limitText(limit int) string {
	if limit == 0 {
		return "as configured"
	}
	return fmt.Sprint(limit)
}
