package faultinjection

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Plan is what schedules are drawn from.
type Plan struct {
	Targets         []string      // processes
	Kinds           []FaultKind   // none: all but Full
	Count           int           // how many
	MeanInterval    time.Duration // between the beginnings of two, in the mean
	MinDuration     time.Duration // how long one lasts
	MaxDuration     time.Duration
	MaxConcurrent   int // processes that are in trouble at one time, at most
	QuorumGroup     []string
	MaxQuorumFaults int // of Quorum, at most so many in trouble at a time; 0: no bound
}

// Draw draws a schedule from a seed.
func (p Plan) Draw(seed uint64) Schedule {
	rng := rand.New(rand.NewPCG(seed, 11))
	from := p.Kinds
	if len(from) == 0 {
		from = kinds
	}
	busy := make(map[string]time.Duration) // until when a process is in trouble
	var s Schedule
	for at := time.Duration(0); len(s) < p.Count; {
		at += p.MeanInterval/2 + time.Duration(rng.Int64N(int64(p.MeanInterval)))
		f := Fault{Start: at.Round(time.Millisecond), Kind: from[rng.IntN(len(from))], Target: p.Targets[rng.IntN(len(p.Targets))]}
		f.Duration = (p.MinDuration + time.Duration(rng.Int64N(int64(p.MaxDuration-p.MinDuration)+1))).Round(time.Millisecond)
		now, quorum := 0, 0
		for of, until := range busy {
			if until > f.Start {
				now++
				if slices.Contains(p.QuorumGroup, of) {
					quorum++
				}
			}
		}
		if busy[f.Target] > f.Start || now >= p.MaxConcurrent || p.MaxQuorumFaults > 0 && slices.Contains(p.QuorumGroup, f.Target) && quorum >= p.MaxQuorumFaults {
			continue
		}
		busy[f.Target] = f.Start + f.Duration
		s = append(s, f)
	}
	return s
}
