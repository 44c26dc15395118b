package membershiptest

import (
	"fmt"
	"log/slog"
	"math"
	"slices"
	"syscall"
	"time"
)

// Plan is one trial.
type Plan struct {
	Members int           `json:"Members"`
	Seed    uint64        `json:"Seed"`
	Probe   time.Duration `json:"Probe"`
	Loss    float64       `json:"Loss"`  // part of the datagrams
	Delay   time.Duration `json:"Delay"` // each is late by so much, and up to twice
	Quiet   time.Duration `json:"Quiet"` // without a fault but the loss
	Kill    float64       `json:"Kill"`  // the part that is then killed at once
	Parts   int           `json:"Parts"` // into how many parts the network is then cut; below 2: it is not
	Apart   time.Duration `json:"Apart"` // for so long
}

// Result is what came of it. Times are zero where the plan has no such part.
type Result struct {
	Plan
	Joined time.Duration `json:"Joined"` // until all see all

	Suspected uint64  `json:"Suspected"` // among living members in the quiet time: false ones
	Lost      uint64  `json:"Lost"`      // among living members in the quiet time: false ones
	PerHour   float64 `json:"PerHour"`   // of the lost ones, for each member and hour
	Bytes     float64 `json:"Bytes"`     // sent by each member a second in the quiet time
	Packets   float64 `json:"Packets"`   // sent by each member a second in the quiet time
	CPU       float64 `json:"CPU"`       // of one core, for each member

	Killed    int           `json:"Killed"`
	FirstSeen time.Duration `json:"FirstSeen"` // median over the killed: until the first sees the loss
	AllSeen   time.Duration `json:"AllSeen"`   // until every one sees every loss
	AllAgree  time.Duration `json:"AllAgree"`  // until all views are the same

	Sides  []int         `json:"Sides"`  // members that the first of each part sees at the end of the cut
	Told   int           `json:"Told"`   // members that report that they are apart, then
	Minor  int           `json:"Minor"`  // members that report that more than half is lost
	Healed time.Duration `json:"Healed"` // until all see all again
	Rounds uint64        `json:"Rounds"` // and the most rounds that a member counted
}

// mostWait bounds each wait of a trial.
const mostWait = 5 * time.Minute

func cpu() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Run carries a trial out.
func (p Plan) Run(log *slog.Logger) (r Result, err error) {
	r.Plan = p
	net := NewNetwork(p.Seed)
	net.Set(p.Loss, p.Delay)
	began := time.Now()
	f, err := Start(net, p.Members, p.Probe, log)
	if err != nil {
		return r, err
	}
	defer f.Stop()
	if _, err := Until(mostWait, func() bool { return Agree(f.Members, p.Members) }); err != nil {
		return r, fmt.Errorf("trial: all see all: %w", err)
	}
	r.Joined = time.Since(began)

	if p.Quiet > 0 {
		sent := func() (bytes, packets float64) {
			for _, m := range f.Members {
				c := m.Counts()
				bytes += float64(c.Bytes)
				packets += float64(c.Packets)
			}
			return bytes, packets
		}
		bytes, packets := sent()
		suspected, lost := f.Suspicions()
		used := cpu()
		time.Sleep(p.Quiet)
		used = cpu() - used
		b, q := sent()
		s, l := f.Suspicions()
		each := float64(p.Members) * p.Quiet.Seconds()
		r.Bytes, r.Packets, r.CPU = (b-bytes)/each, (q-packets)/each, used.Seconds()/each
		r.Suspected, r.Lost = s-suspected, l-lost
		r.PerHour = float64(r.Lost) / each * time.Hour.Seconds()
	}
	if r.Killed = int(math.Round(p.Kill * float64(p.Members))); r.Killed > 0 {
		if err := r.kill(f); err != nil {
			return r, err
		}
	}
	if p.Parts > 1 {
		return r, r.part(f)
	}
	return r, nil
}

// kill kills members and waits until all others know.
func (r *Result) kill(f *Fleet) error {
	var killed []string
	for i := range r.Killed { // spread over the fleet; the seeds come last
		m := f.Members[len(f.Members)-1-i*len(f.Members)/r.Killed]
		killed = append(killed, m.Self().Name)
		m.Kill()
	}
	began := time.Now()
	first := make(map[string]time.Duration)
	living := f.Living()
	if _, err := Until(mostWait, func() bool {
		unseen := 0
		for _, m := range living {
			for _, name := range killed {
				if s, ok := m.Named(name); ok && s.Status != "lost" {
					unseen++
				} else if first[name] == 0 {
					first[name] = time.Since(began)
				}
			}
		}
		return unseen == 0
	}); err != nil {
		return fmt.Errorf("trial: every loss is seen: %w", err)
	}
	r.AllSeen = time.Since(began)
	var all []time.Duration
	for _, d := range first {
		all = append(all, d)
	}
	slices.Sort(all)
	r.FirstSeen = all[len(all)/2]
	if _, err := Until(mostWait, func() bool { return Agree(living, len(living)) }); err != nil {
		return fmt.Errorf("trial: all views are the same after a loss: %w", err)
	}
	r.AllAgree = time.Since(began)
	return nil
}

// part cuts the network into parts, and heals it.
func (r *Result) part(f *Fleet) error {
	living := f.Living()
	f.Net.Cut(func(a, b int) bool { return a%r.Parts != b%r.Parts })
	time.Sleep(r.Apart)
	r.Sides = make([]int, r.Parts)
	for _, m := range living {
		side := m.Side()
		r.Sides[m.of%r.Parts] = side.Present
		if side.Apart() {
			r.Told++
		}
		if side.Minority() {
			r.Minor++
		}
	}
	f.Net.Cut(nil)
	healed, err := Until(mostWait, func() bool { return Agree(living, len(living)) })
	if err != nil {
		return fmt.Errorf("trial: all see all after a cut: %w", err)
	}
	r.Healed = healed
	if _, err := Until(mostWait, func() bool {
		r.Rounds = 0
		for _, m := range living {
			c := m.Counts()
			if c.Healed == 0 {
				return false
			}
			r.Rounds = max(r.Rounds, c.Healed)
		}
		return true
	}); err != nil {
		return fmt.Errorf("trial: every member counts its rounds: %w", err)
	}
	return nil
}
