package membershiptest

import (
	"fmt"
	"log/slog"
	"math"
	"slices"
	"syscall"
	"time"
)

// Scenario is one trial.
type Scenario struct {
	Members           int           `json:"Members"`
	Seed              uint64        `json:"Seed"`
	ProbeInterval     time.Duration `json:"Probe"`
	PacketLoss        float64       `json:"Loss"`  // part of the datagrams
	Delay             time.Duration `json:"Delay"` // each is late by so much, and up to twice
	Baseline          time.Duration `json:"Quiet"` // without a fault but the loss
	KillFraction      float64       `json:"Kill"`  // the part that is then killed at once
	Partitions        int           `json:"Parts"` // into how many parts the network is then cut; below 2: it is not
	PartitionDuration time.Duration `json:"Apart"` // for so long
}

// Result is what came of it. Times are zero where the plan has no such part.
type Result struct {
	Scenario
	JoinTime time.Duration `json:"Joined"` // until all see all

	FalseSuspicions           uint64  `json:"Suspected"` // among living members in the quiet time: false ones
	FalselyUnreachable        uint64  `json:"Lost"`      // among living members in the quiet time: false ones
	FalselyUnreachablePerHour float64 `json:"PerHour"`   // of the lost ones, for each member and hour
	BytesPerSecond            float64 `json:"Bytes"`     // sent by each member a second in the quiet time
	PacketsPerSecond          float64 `json:"Packets"`   // sent by each member a second in the quiet time
	CoresPerMember            float64 `json:"CPU"`       // of one core, for each member

	Killed         int           `json:"Killed"`
	FirstDetection time.Duration `json:"FirstSeen"` // median over the killed: until the first sees the loss
	FullDetection  time.Duration `json:"AllSeen"`   // until every one sees every loss
	FullAgreement  time.Duration `json:"AllAgree"`  // until all views are the same

	PresentByPartition []int         `json:"Sides"`  // members that the first of each part sees at the end of the cut
	ReportedPartition  int           `json:"Told"`   // members that report that they are apart, then
	ReportedMinority   int           `json:"Minor"`  // members that report that more than half is lost
	HealTime           time.Duration `json:"Healed"` // until all see all again
	HealRounds         uint64        `json:"Rounds"` // and the most rounds that a member counted
}

// maxWait bounds each wait of a trial.
const maxWait = 5 * time.Minute

func processCPUTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Run carries a trial out.
func (p Scenario) Run(log *slog.Logger) (r Result, err error) {
	r.Scenario = p
	net := NewNetwork(p.Seed)
	net.SetConditions(p.PacketLoss, p.Delay)
	began := time.Now()
	f, err := StartFleet(net, p.Members, p.ProbeInterval, log)
	if err != nil {
		return r, err
	}
	defer f.Stop()
	if _, err := WaitUntil(maxWait, func() bool { return Agree(f.Members, p.Members) }); err != nil {
		return r, fmt.Errorf("trial: all see all: %w", err)
	}
	r.JoinTime = time.Since(began)

	if p.Baseline > 0 {
		sent := func() (bytes, packets float64) {
			for _, m := range f.Members {
				c := m.Stats()
				bytes += float64(c.BytesSent)
				packets += float64(c.PacketsSent)
			}
			return bytes, packets
		}
		bytes, packets := sent()
		suspected, lost := f.Suspicions()
		used := processCPUTime()
		time.Sleep(p.Baseline)
		used = processCPUTime() - used
		b, q := sent()
		s, l := f.Suspicions()
		each := float64(p.Members) * p.Baseline.Seconds()
		r.BytesPerSecond, r.PacketsPerSecond, r.CoresPerMember = (b-bytes)/each, (q-packets)/each, used.Seconds()/each
		r.FalseSuspicions, r.FalselyUnreachable = s-suspected, l-lost
		r.FalselyUnreachablePerHour = float64(r.FalselyUnreachable) / each * time.Hour.Seconds()
	}
	if r.Killed = int(math.Round(p.KillFraction * float64(p.Members))); r.Killed > 0 {
		if err := r.kill(f); err != nil {
			return r, err
		}
	}
	if p.Partitions > 1 {
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
	living := f.Running()
	if _, err := WaitUntil(maxWait, func() bool {
		unseen := 0
		for _, m := range living {
			for _, name := range killed {
				if s, ok := m.Latest(name); ok && s.Status != "lost" {
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
	r.FullDetection = time.Since(began)
	var all []time.Duration
	for _, d := range first {
		all = append(all, d)
	}
	slices.Sort(all)
	r.FirstDetection = all[len(all)/2]
	if _, err := WaitUntil(maxWait, func() bool { return Agree(living, len(living)) }); err != nil {
		return fmt.Errorf("trial: all views are the same after a loss: %w", err)
	}
	r.FullAgreement = time.Since(began)
	return nil
}

// part cuts the network into parts, and heals it.
func (r *Result) part(f *Fleet) error {
	living := f.Running()
	f.Net.Partition(func(a, b int) bool { return a%r.Partitions != b%r.Partitions })
	time.Sleep(r.PartitionDuration)
	r.PresentByPartition = make([]int, r.Partitions)
	for _, m := range living {
		side := m.Partition()
		r.PresentByPartition[m.index%r.Partitions] = side.Present
		if side.Partitioned() {
			r.ReportedPartition++
		}
		if side.Minority() {
			r.ReportedMinority++
		}
	}
	f.Net.Partition(nil)
	healed, err := WaitUntil(maxWait, func() bool { return Agree(living, len(living)) })
	if err != nil {
		return fmt.Errorf("trial: all see all after a cut: %w", err)
	}
	r.HealTime = healed
	if _, err := WaitUntil(maxWait, func() bool {
		r.HealRounds = 0
		for _, m := range living {
			c := m.Stats()
			if c.HealRounds == 0 {
				return false
			}
			r.HealRounds = max(r.HealRounds, c.HealRounds)
		}
		return true
	}); err != nil {
		return fmt.Errorf("trial: every member counts its rounds: %w", err)
	}
	return nil
}
