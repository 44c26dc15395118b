package emulator

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Fleet holds the servers of a run, with the cells and zones whose affinity and deduplication caches they
// share. Removed servers stay in Servers, so that an index always identifies the same server.
type Fleet struct {
	Servers []*Server

	scenario *Scenario
	seed     uint64
	cells    []*Cell
	zones    []*dedupCache
}

// NewFleet returns a fleet with the servers that run from the start, drawn at random.
func NewFleet(sc *Scenario, seed uint64, rng *rand.Rand) *Fleet {
	f := &Fleet{scenario: sc, seed: seed}
	kinds := make([]float64, len(sc.Kinds))
	for i, k := range sc.Kinds {
		kinds[i] = k.Share
	}
	kind := distuv.NewCategorical(kinds, rng)
	var cell *Cell
	for z := range sc.Zones {
		f.zones = append(f.zones, newDedupCache())
		serversInZone := (sc.Servers + len(sc.Zones) - 1 - z) / len(sc.Zones)
		for n := range serversInZone {
			k := sc.Kinds[int(kind.Rand())]
			if n%sc.Keys.CellSize == 0 {
				cell = newCell(len(f.cells), f.zones[z], sc.Keys, k.Cores*sc.Keys.CellSize)
				f.cells = append(f.cells, cell)
			}
			f.AddServer(z, k, cell, k.Speed*math.Exp(k.SpeedCV*rng.NormFloat64()), StartTime).Alive = true
		}
	}
	return f
}

// AddServer adds a server that is not running yet.
func (f *Fleet) AddServer(zone int, k MachineKind, cell *Cell, speed float64, now time.Duration) *Server {
	sv := &Server{
		Index: len(f.Servers), Zone: zone, Cell: cell, Kind: k, Speed: speed, Slowdown: 1, rules: f.scenario.Rules, connectionsPerCore: f.scenario.Network.ConnectionsPerCore, advancedTo: now,
		rng: source(f.seed, streamServers, len(f.Servers)), lastReportAt: now,
	}
	f.Servers = append(f.Servers, sv)
	return sv
}

// Live returns the running servers that are not draining, by index.
func (f *Fleet) Live() (live []*Server) {
	for _, sv := range f.Servers {
		if sv.Alive && !sv.Draining {
			live = append(live, sv)
		}
	}
	return live
}

// PickShare picks a fraction of the indexes below n at random and returns them in order.
func PickShare(rng *rand.Rand, n int, share float64) []int {
	picked := rng.Perm(n)[:int(math.Round(share*float64(n)))]
	slices.Sort(picked)
	return picked
}

// ZoneAndCell returns the zone and the cell number of a server.
func (f *Fleet) ZoneAndCell(server int) (zone, cell int) {
	return f.Servers[server].Zone, f.Servers[server].Cell.Number
}
