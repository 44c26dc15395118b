package faultinjection

import (
	"math/rand/v2"
	"slices"
	"time"
)

// planStream is the random stream, of a seed, from which plans draw.
const planStream = 11

// Plan describes the distribution from which schedules are drawn.
type Plan struct {
	Targets      []string    // names of processes
	Kinds        []FaultKind // empty: all but DiskFull
	Count        int         // of faults
	MeanInterval time.Duration
	MinDuration  time.Duration // of a fault
	MaxDuration  time.Duration

	MaxConcurrent   int      // number of processes that may have a fault at the same time
	QuorumGroup     []string // processes of which only MaxQuorumFaults may have a fault
	MaxQuorumFaults int      // bound on processes of QuorumGroup with a fault at the same time; 0: none
}

// Draw draws a schedule from a seed.
func (p Plan) Draw(seed uint64) Schedule {
	rng := rand.New(rand.NewPCG(seed, planStream))
	faultUntil := make(map[string]time.Duration) // by process
	var schedule Schedule
	for at := time.Duration(0); len(schedule) < p.Count; {
		at += p.MeanInterval/2 + time.Duration(rng.Int64N(int64(p.MeanInterval)))
		f := p.drawFault(rng, at)
		if !p.allows(f, faultUntil) {
			continue
		}
		faultUntil[f.Target] = f.Start + f.Duration
		schedule = append(schedule, f)
	}
	return schedule
}

// drawFault draws a fault that starts at the given time.
func (p Plan) drawFault(rng *rand.Rand, at time.Duration) Fault {
	kinds := p.Kinds
	if len(kinds) == 0 {
		kinds = defaultKinds
	}
	f := Fault{Start: at.Round(time.Millisecond), Kind: kinds[rng.IntN(len(kinds))], Target: p.Targets[rng.IntN(len(p.Targets))]}
	f.Duration = (p.MinDuration + time.Duration(rng.Int64N(int64(p.MaxDuration-p.MinDuration)+1))).Round(time.Millisecond)
	return f
}

// allows reports whether a fault respects the plan's bounds, given until when each process has an
// earlier fault.
func (p Plan) allows(f Fault, faultUntil map[string]time.Duration) bool {
	concurrent, quorumFaults := 0, 0
	for process, until := range faultUntil {
		if until <= f.Start {
			continue
		}
		concurrent++
		if slices.Contains(p.QuorumGroup, process) {
			quorumFaults++
		}
	}
	if faultUntil[f.Target] > f.Start || concurrent >= p.MaxConcurrent {
		return false
	}
	bounded := p.MaxQuorumFaults > 0 && slices.Contains(p.QuorumGroup, f.Target)
	return !bounded || quorumFaults < p.MaxQuorumFaults
}
