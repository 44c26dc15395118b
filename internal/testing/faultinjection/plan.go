package faultinjection

import (
	"math/rand/v2"
	"slices"
	"time"
)

// planStream is the random stream of a seed that plans draw from.
const planStream = 11

// Plan is what schedules are drawn from.
type Plan struct {
	Targets      []string    // names of processes
	Kinds        []FaultKind // none: all but DiskFull
	Count        int         // of faults
	MeanInterval time.Duration
	MinDuration  time.Duration // of one fault
	MaxDuration  time.Duration

	MaxConcurrent   int      // processes with a fault at one time
	QuorumGroup     []string // processes of which a part has to be without a fault
	MaxQuorumFaults int      // of the group, with a fault at one time; 0: no bound
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

// drawFault draws a fault that starts at a time.
func (p Plan) drawFault(rng *rand.Rand, at time.Duration) Fault {
	kinds := p.Kinds
	if len(kinds) == 0 {
		kinds = defaultKinds
	}
	f := Fault{Start: at.Round(time.Millisecond), Kind: kinds[rng.IntN(len(kinds))], Target: p.Targets[rng.IntN(len(p.Targets))]}
	f.Duration = (p.MinDuration + time.Duration(rng.Int64N(int64(p.MaxDuration-p.MinDuration)+1))).Round(time.Millisecond)
	return f
}

// allows reports whether a fault keeps the plan's bounds beside those that last until
// certain times.
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
