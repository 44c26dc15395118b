package emulator

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Fleet are the servers of a day, with the cells and zones that they share keys and
// repeats in. Those that have gone stay, so that an index names one server for ever.
type Fleet struct {
	Servers []*Server

	sc    *Scenario
	seed  uint64
	cells []*Cell
	zones []*repeats
}

// NewFleet sets up the servers that are there from a day's begin, as luck has it.
func NewFleet(sc *Scenario, seed uint64, luck *rand.Rand) *Fleet {
	f := &Fleet{sc: sc, seed: seed}
	kinds := make([]float64, len(sc.Kinds))
	for i, k := range sc.Kinds {
		kinds[i] = k.Share
	}
	kind := distuv.NewCategorical(kinds, luck)
	var cell *Cell
	for z := range sc.Zones {
		f.zones = append(f.zones, newRepeats())
		here := (sc.Servers + len(sc.Zones) - 1 - z) / len(sc.Zones)
		for n := range here {
			k := sc.Kinds[int(kind.Rand())]
			if n%sc.Keys.Cell == 0 {
				cell = newCell(len(f.cells), f.zones[z], sc.Keys, k.Cores*sc.Keys.Cell)
				f.cells = append(f.cells, cell)
			}
			f.Place(z, k, cell, k.Speed*math.Exp(k.SpeedCV*luck.NormFloat64()), Dawn).Alive = true
		}
	}
	return f
}

// Place adds a server that does not run yet.
func (f *Fleet) Place(zone int, k Kind, cell *Cell, speed float64, now time.Duration) *Server {
	sv := &Server{
		Index: len(f.Servers), Zone: zone, Cell: cell, Kind: k, Speed: speed, Slow: 1, rules: f.sc.Rules, accepts: f.sc.Network.PerCore, at: now,
		rng: source(f.seed, streamServers, len(f.Servers)), reportAt: now,
	}
	f.Servers = append(f.Servers, sv)
	return sv
}

// Live are the servers that run and don't drain, by index.
func (f *Fleet) Live() (live []*Server) {
	for _, sv := range f.Servers {
		if sv.Alive && !sv.Draining {
			live = append(live, sv)
		}
	}
	return live
}

// Befallen picks a part of n, at random and in order.
func Befallen(luck *rand.Rand, n int, part float64) []int {
	picked := luck.Perm(n)[:int(math.Round(part*float64(n)))]
	slices.Sort(picked)
	return picked
}

// Group is the zone and the cell of a server.
func (f *Fleet) Group(server int) (zone, cell int) {
	return f.Servers[server].Zone, f.Servers[server].Cell.Number
}
