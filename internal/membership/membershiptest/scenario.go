package membershiptest

import (
	"fmt"
	"log/slog"
	"math"
	"slices"
	"syscall"
	"time"

	"barleywick/internal/membership"
)

// Scenario is one measurement: the members join and run for a time without faults, then some are
// killed, and then the network is partitioned and healed.
type Scenario struct {
	Members           int           `json:"Members"`
	Seed              uint64        `json:"Seed"`
	ProbeInterval     time.Duration `json:"Probe"`
	PacketLoss        float64       `json:"Loss"`  // fraction of the datagrams, throughout
	Delay             time.Duration `json:"Delay"` // each datagram and stream is delayed by once to twice this
	Baseline          time.Duration `json:"Quiet"` // time without other faults
	KillFraction      float64       `json:"Kill"`  // of the members, all killed at the end of the baseline
	Partitions        int           `json:"Parts"` // number of parts into which the network is then partitioned; below 2: no partition
	PartitionDuration time.Duration `json:"Apart"`
}

// Result holds the measurements of a Scenario. Those of steps that the scenario leaves out are zero.
type Result struct {
	Scenario
	JoinTime time.Duration `json:"Joined"` // until all views hold all members

	FalseSuspicions           uint64  `json:"Suspected"` // of running members, in the baseline
	FalselyUnreachable        uint64  `json:"Lost"`      // running members that became unreachable, in the baseline
	FalselyUnreachablePerHour float64 `json:"PerHour"`   // FalselyUnreachable per member and hour
	BytesPerSecond            float64 `json:"Bytes"`     // sent by each member in the baseline
	PacketsPerSecond          float64 `json:"Packets"`   // sent by each member in the baseline
	CoresPerMember            float64 `json:"CPU"`       // used by each member in the baseline

	Killed         int           `json:"Killed"`
	FirstDetection time.Duration `json:"FirstSeen"` // until the first member considers a killed one unreachable; median over the killed ones
	FullDetection  time.Duration `json:"AllSeen"`   // until every member considers all killed ones unreachable
	FullAgreement  time.Duration `json:"AllAgree"`  // until all views are equal

	PresentByPartition []int         `json:"Sides"`  // members present in the view of a member of each part, at the end of the partition
	ReportedPartition  int           `json:"Told"`   // members that report a partition then
	ReportedMinority   int           `json:"Minor"`  // members that report that more than half is unreachable
	HealTime           time.Duration `json:"Healed"` // until all views hold all members again
	HealRounds         uint64        `json:"Rounds"` // the highest count of a member
}

// maxWait bounds each wait of a scenario.
const maxWait = 5 * time.Minute

func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Run runs the scenario and returns its measurements.
func (s Scenario) Run(logger *slog.Logger) (Result, error) {
	r := Result{Scenario: s}
	network := NewNetwork(s.Seed)
	network.SetConditions(s.PacketLoss, s.Delay)
	start := time.Now()
	fleet, err := StartFleet(network, s.Members, s.ProbeInterval, logger)
	if err != nil {
		return r, err
	}
	defer fleet.Stop()
	if _, err := WaitUntil(maxWait, func() bool { return Agree(fleet.Members, s.Members) }); err != nil {
		return r, fmt.Errorf("membershiptest: join: %w", err)
	}
	r.JoinTime = time.Since(start)

	if s.Baseline > 0 {
		r.measureBaseline(fleet)
	}
	if r.Killed = int(math.Round(s.KillFraction * float64(s.Members))); r.Killed > 0 {
		if err := r.kill(fleet); err != nil {
			return r, err
		}
	}
	if s.Partitions > 1 {
		return r, r.partition(fleet)
	}
	return r, nil
}

// measureBaseline measures the cost and the false detections during a time without faults.
func (r *Result) measureBaseline(fleet *Fleet) {
	before, cpuBefore := sumStats(fleet.Members), processCPUTime()
	time.Sleep(r.Baseline)
	cpu, after := processCPUTime()-cpuBefore, sumStats(fleet.Members)
	memberSeconds := float64(r.Members) * r.Baseline.Seconds()
	r.BytesPerSecond = (after.bytes - before.bytes) / memberSeconds
	r.PacketsPerSecond = (after.packets - before.packets) / memberSeconds
	r.CoresPerMember = cpu.Seconds() / memberSeconds
	r.FalseSuspicions = after.suspicions - before.suspicions
	r.FalselyUnreachable = after.unreachable - before.unreachable
	r.FalselyUnreachablePerHour = float64(r.FalselyUnreachable) / memberSeconds * time.Hour.Seconds()
}

// kill kills members and waits until all others have detected it and agree.
func (r *Result) kill(fleet *Fleet) error {
	var killed []string
	for i := range r.Killed { // spread over the fleet, from the last member to the seeds
		member := fleet.Members[len(fleet.Members)-1-i*len(fleet.Members)/r.Killed]
		killed = append(killed, member.Self().Name)
		member.Kill()
	}
	start := time.Now()
	running := fleet.Running()
	firstDetection := make(map[string]time.Duration) // by the name of the killed member
	if _, err := WaitUntil(maxWait, func() bool {
		undetected := 0
		for _, member := range running {
			for _, name := range killed {
				if latest, ok := member.Latest(name); ok && latest.Status != membership.StatusUnreachable {
					undetected++
				} else if firstDetection[name] == 0 {
					firstDetection[name] = time.Since(start)
				}
			}
		}
		return undetected == 0
	}); err != nil {
		return fmt.Errorf("membershiptest: detection of killed members: %w", err)
	}
	r.FullDetection = time.Since(start)
	r.FirstDetection = median(firstDetection)
	if _, err := WaitUntil(maxWait, func() bool { return Agree(running, len(running)) }); err != nil {
		return fmt.Errorf("membershiptest: agreement after members were killed: %w", err)
	}
	r.FullAgreement = time.Since(start)
	return nil
}

func median(durations map[string]time.Duration) time.Duration {
	var sorted []time.Duration
	for _, d := range durations {
		sorted = append(sorted, d)
	}
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

// partition partitions the network for a time, and waits until all members have counted it as healed.
func (r *Result) partition(fleet *Fleet) error {
	running := fleet.Running()
	fleet.Network.Partition(func(from, to int) bool { return from%r.Partitions != to%r.Partitions })
	time.Sleep(r.PartitionDuration)
	r.PresentByPartition = make([]int, r.Partitions)
	for _, member := range running {
		state := member.Partition()
		r.PresentByPartition[member.index%r.Partitions] = state.Present
		if state.Partitioned() {
			r.ReportedPartition++
		}
		if state.Minority() {
			r.ReportedMinority++
		}
	}
	fleet.Network.Partition(nil)
	healTime, err := WaitUntil(maxWait, func() bool { return Agree(running, len(running)) })
	if err != nil {
		return fmt.Errorf("membershiptest: agreement after a partition: %w", err)
	}
	r.HealTime = healTime
	if _, err := WaitUntil(maxWait, func() bool { return r.countHealRounds(running) }); err != nil {
		return fmt.Errorf("membershiptest: heal rounds: %w", err)
	}
	return nil
}

// countHealRounds sets HealRounds to the highest number of rounds that a member counted until the
// partition had healed, and reports whether all members have counted.
func (r *Result) countHealRounds(members []*Member) bool {
	r.HealRounds = 0
	for _, member := range members {
		rounds := member.Stats().HealRounds
		if rounds == 0 {
			return false
		}
		r.HealRounds = max(r.HealRounds, rounds)
	}
	return true
}
