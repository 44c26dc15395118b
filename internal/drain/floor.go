package drain

import (
	"context"
	"maps"
	"slices"
	"strings"

	"barleywick/internal/registry"
)

// Floor is the number of ready servers that must remain in each zone.
type Floor struct {
	Zones   map[string]int `json:"zones"`
	Default int            `json:"others"` // for zones that Zones does not name
}

func (f Floor) forZone(zone string) int {
	if n, ok := f.Zones[zone]; ok {
		return n
	}
	return f.Default
}

// Plan describes what a drain would do.
type Plan struct {
	Machine   string
	Hosts     []string // the servers that would be drained
	Zones     []ZoneReadiness
	ResumesAt Step // the step at which a drain in progress would be resumed; empty: a new drain
}

// ZoneReadiness is the number of ready servers of a zone, and how many would remain after a drain.
type ZoneReadiness struct {
	Zone                    string
	Ready, Remaining, Floor int
}

// checkFloor plans a new drain. It returns ErrRefused if the machine has no servers, one of them
// is marked by another owner, or too few servers would remain besides the other drains.
func (w *Workflow) checkFloor(ctx context.Context, machine string, rec record) (Plan, error) {
	list, err := w.Registry.Registrations(ctx)
	if err != nil {
		return Plan{}, err
	}
	plan := Plan{Machine: machine}
	for _, server := range list.Registrations {
		if server.Machine != machine {
			continue
		}
		if marker := list.Marks[server.Host]; marker != "" && marker != markOwner(machine) {
			return plan, refusal("server %s is marked by %s: let that end first", server.Host, marker)
		}
		plan.Hosts = append(plan.Hosts, server.Host)
	}
	if len(plan.Hosts) == 0 {
		return plan, refusal("machine %q has no servers in the list; it has those of %s", machine, strings.Join(machines(list.Registrations), ", "))
	}
	slices.Sort(plan.Hosts)
	for _, zone := range zonesAfter(list.Registrations, machine, rec) {
		zone.Floor = w.Floor.forZone(zone.Zone)
		plan.Zones = append(plan.Zones, zone)
		if zone.Remaining < zone.Ready && zone.Remaining < zone.Floor {
			return plan, refusal("without %s zone %s would have %d ready servers, its floor is %d; start others first, or end another drain",
				machine, zone.Zone, zone.Remaining, zone.Floor)
		}
	}
	return plan, nil
}

// zonesAfter counts the ready servers in each zone of the machine, now and without the machine.
// Servers of machines that are being drained do not count.
func zonesAfter(servers []registry.Registration, machine string, rec record) []ZoneReadiness {
	byZone := make(map[string]ZoneReadiness)
	for _, server := range servers {
		if server.Machine == machine {
			byZone[server.Site] = ZoneReadiness{Zone: server.Site}
		}
	}
	for _, server := range servers {
		zone, counted := byZone[server.Site]
		draining := rec.drains[server.Machine].Step != ""
		if !counted || server.Health != registry.HealthUp || draining && server.Machine != machine {
			continue
		}
		zone.Ready++
		if server.Machine != machine {
			zone.Remaining++
		}
		byZone[server.Site] = zone
	}
	zones := make([]ZoneReadiness, 0, len(byZone))
	for _, name := range slices.Sorted(maps.Keys(byZone)) {
		zones = append(zones, byZone[name])
	}
	return zones
}

// machines returns the names of the machines that have servers.
func machines(servers []registry.Registration) []string {
	var names []string
	for _, server := range servers {
		if server.Machine != "" {
			names = append(names, server.Machine)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
