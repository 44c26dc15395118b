package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/spf13/cobra"

	"barleywick/internal/cli"
	"barleywick/internal/membership/membershiptest"
)

// Limits of one run: all members run in this process.
const (
	maxMembers    = 2000
	maxPartitions = 8
)

// membersCommand returns the command members.
func membersCommand() *cobra.Command {
	p := membershiptest.Scenario{}
	var asJSON bool
	c := &cobra.Command{
		Use: "members", Short: "Measure how members of a fleet detect failures and partitions", Args: cli.NoArgs,
		Long: `members runs a fleet of members (docs/MEMBERSHIP.md) in this process, in real time, over a
simulated network that drops datagrams but no stream data. It measures the cost and the false
detections of a period without other faults, then kills a fraction of the members at once and
then partitions the network, and prints how long detection and agreement took.`,
		Example: "  testbench members --members 300 --loss 0.1 --kill 0.5\n  testbench members --members 30 --parts 3 --apart 30s",
	}
	c.Flags().IntVar(&p.Members, "members", 30, "number of members")
	c.Flags().Uint64Var(&p.Seed, "seed", 1, "seed of the packet loss")
	c.Flags().DurationVar(&p.ProbeInterval, "probe", 500*time.Millisecond, "interval between two probes by a member")
	c.Flags().Float64Var(&p.PacketLoss, "loss", 0, "fraction of the datagrams that are dropped")
	c.Flags().DurationVar(&p.Delay, "delay", time.Millisecond, "minimum delay of each datagram and stream; the maximum is twice that")
	c.Flags().DurationVar(&p.Baseline, "quiet", 20*time.Second, "duration of the period without other faults")
	c.Flags().Float64Var(&p.KillFraction, "kill", 0.1, "fraction of the members that are then killed at once")
	c.Flags().IntVar(&p.Partitions, "parts", 1, "number of parts into which the network is then partitioned; 1: no partition")
	c.Flags().DurationVar(&p.PartitionDuration, "apart", 30*time.Second, "duration of the partition")
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := checkMembers(p); err != nil {
			return err
		}
		var r membershiptest.Result
		done := make(chan error, 1)
		go func() { // if the run is interrupted, this goroutine ends with the process
			var err error
			r, err = p.Run(slog.New(slog.NewTextHandler(io.Discard, nil)))
			done <- err
		}()
		select {
		case err := <-done:
			if err != nil {
				return err
			}
		case <-c.Context().Done():
			return cli.ExitError(statusInterrupted, "interrupted")
		}
		if asJSON {
			return json.NewEncoder(c.OutOrStdout()).Encode(r)
		}
		printMembershipResult(c.OutOrStdout(), r)
		return nil
	}
	return c
}

// checkMembers checks the flags of the command members.
func checkMembers(p membershiptest.Scenario) error {
	switch {
	case p.Members < 2 || p.Members > maxMembers:
		return cli.UsageError("--members is %d, it must lie between 2 and %d", p.Members, maxMembers)
	case !(p.PacketLoss >= 0 && p.PacketLoss < 1) || !(p.KillFraction >= 0 && p.KillFraction < 1):
		return cli.UsageError("--loss is %g and --kill is %g, both must be at least 0 and below 1", p.PacketLoss, p.KillFraction)
	case p.Partitions < 1 || p.Partitions > maxPartitions || p.Partitions > p.Members/2:
		return cli.UsageError("--parts is %d, it must lie between 1 and %d, and each part needs two members", p.Partitions, maxPartitions)
	case p.ProbeInterval < 50*time.Millisecond || p.Delay < 0 || p.Baseline < 0 || p.PartitionDuration < 0:
		return cli.UsageError("--probe is %v, it must be at least 50ms; --delay %v, --quiet %v and --apart %v must not be negative", p.ProbeInterval, p.Delay, p.Baseline, p.PartitionDuration)
	}
	return nil
}

// printMembershipResult prints the measured times and costs.
func printMembershipResult(w io.Writer, r membershiptest.Result) {
	ms := func(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }
	fmt.Fprintf(w, "%d members, a probe every %v, %.0f %% of the datagrams lost: all see all others after %v\n", r.Members, r.ProbeInterval, 100*r.PacketLoss, ms(r.JoinTime))
	if r.Baseline > 0 {
		fmt.Fprintf(w, "%v without other faults: %d false suspicions, %d live members seen as unreachable (%.2f per member and hour); each sends %.0f bytes in %.1f datagrams a second and uses %.2f %% of a core\n",
			r.Baseline, r.FalseSuspicions, r.FalselyUnreachable, r.FalselyUnreachablePerHour, r.BytesPerSecond, r.PacketsPerSecond, 100*r.CoresPerMember)
	}
	if r.Killed > 0 {
		fmt.Fprintf(w, "%d killed at once: each is first detected after %v (median), all members detect all of them after %v, all views agree after %v\n",
			r.Killed, ms(r.FirstDetection), ms(r.FullDetection), ms(r.FullAgreement))
	}
	if r.Partitions > 1 {
		fmt.Fprintf(w, "partitioned into %d for %v: the parts see %v members, %d members report the partition, %d that more than half is unreachable; healed after %v, in %d rounds at most\n",
			r.Partitions, r.PartitionDuration, r.PresentByPartition, r.ReportedPartition, r.ReportedMinority, ms(r.HealTime), r.HealRounds)
	}
}
