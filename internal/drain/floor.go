package drain

import (
	"context"
	"maps"
	"slices"
	"strings"

	"barleywick/internal/registry"
)

// Floor is how many ready servers have to remain in each zone; Others counts where
// a zone is not named.
type Floor struct {
	Zones   map[string]int `json:"zones"`
	Default int            `json:"others"`
}

func (f Floor) forZone(zone string) int {
	if n, ok := f.Zones[zone]; ok {
		return n
	}
	return f.Default
}

// Plan is what a drain would do.
type Plan struct {
	Machine   string
	Hosts     []string
	Zones     []ZoneReadiness
	ResumesAt Step // the step that a drain under way would be resumed at; empty: a new one
}

// ZoneReadiness is what a zone has before and after.
type ZoneReadiness struct {
	Zone                    string
	Ready, Remaining, Floor int
}

// checkFloor checks a drain against the list and the other drains.
func (w *Workflow) checkFloor(ctx context.Context, machine string, d record) (Plan, error) {
	list, err := w.Registry.Registrations(ctx)
	if err != nil {
		return Plan{}, err
	}
	p := Plan{Machine: machine}
	zones, ready := make(map[string]int), make(map[string]int)
	known := make(map[string]bool)
	for _, e := range list.Registrations {
		known[e.Machine] = true
		if e.Machine == machine {
			p.Hosts = append(p.Hosts, e.Host)
			zones[e.Site] += 0
			if m := list.Marks[e.Host]; m != "" && m != markOwner(machine) {
				return p, refusal("server %s is marked by %s: let that end first", e.Host, m)
			}
		}
		other := d.drains[e.Machine]
		if e.Health == registry.HealthUp && (other.Step == "" || e.Machine == machine) {
			ready[e.Site]++
			if e.Machine == machine {
				zones[e.Site]++
			}
		}
	}
	if len(p.Hosts) == 0 {
		var names []string
		for m := range known {
			if m != "" {
				names = append(names, m)
			}
		}
		slices.Sort(names)
		return p, refusal("machine %q has no servers in the list; it has those of %s", machine, strings.Join(names, ", "))
	}
	slices.Sort(p.Hosts)
	for _, z := range slices.Sorted(maps.Keys(zones)) {
		r := ZoneReadiness{Zone: z, Ready: ready[z], Remaining: ready[z] - zones[z], Floor: w.Floor.forZone(z)}
		p.Zones = append(p.Zones, r)
		if zones[z] > 0 && r.Remaining < r.Floor {
			return p, refusal("without %s zone %s would have %d ready servers, its floor is %d; start others first, or end another drain", machine, z, r.Remaining, r.Floor)
		}
	}
	return p, nil
}
