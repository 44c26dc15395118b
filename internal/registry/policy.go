package registry

import (
	"errors"
	"fmt"
	"strings"

	"barleywick/internal/rollout"
)

// RosterLeasePrefix begins the names of the leases under which sidecars serve whose policy says
// that they refuse when they are cut off. Its end is evidence that the sidecar acts no
// more: its seat in the roster goes in the same command.
const RosterLeasePrefix = "seat:"

// Rollout returns the change of policy, to be read.
func (s *State) Rollout() *rollout.State { return s.rollout }

// applyPolicyStep carries a step of a change of policy out.
func (s *State) applyPolicyStep(c Command) Result {
	if c.PolicyStep == nil {
		return failed(fmt.Errorf("%w: no step of a change of policy", ErrInvalid))
	}
	step := *c.PolicyStep
	step.AtMS = c.AtMS
	if step.Op == rollout.OpAdvance && c.Fence == nil {
		return failed(fmt.Errorf("%w: to advance a change is for the holder of its lease", ErrInvalid))
	}
	err := s.rollout.Apply(step)
	for ours, theirs := range map[error]error{ErrInvalid: rollout.ErrInvalid, ErrConflict: rollout.ErrConflict, ErrNotFound: rollout.ErrNotFound, ErrLimitReached: rollout.ErrLimitReached} {
		if errors.Is(err, theirs) {
			err = fmt.Errorf("%w: %w", ours, err)
			break
		}
	}
	return Result{Version: s.rollout.Version(), Err: err}
}

// rosterLeasesEndedBy are the sidecars that hold leases which a command may end.
func (s *State) rosterLeasesEndedBy(c Command) (seated []Claim) {
	if c.Lease == nil || c.Op != OpExpireClaims && c.Op != OpReleaseLease {
		return nil
	}
	names := []string{c.Lease.Name}
	for _, e := range c.Lease.Expired {
		names = append(names, e.Lease)
	}
	for _, n := range names {
		if l := s.leases.leases[n]; strings.HasPrefix(n, RosterLeasePrefix) && l != nil && l.Grant != nil {
			seated = append(seated, l.Grant.Claim)
		}
	}
	return seated
}

// leaveRoster takes the seats of those away whose leases have ended.
func (s *State) leaveRoster(seated []Claim) {
	for _, c := range seated {
		if l := s.leases.leases[RosterLeasePrefix+c.Name]; l == nil || l.Grant == nil || l.Grant.ID != c.ID {
			s.rollout.Apply(rollout.Command{Op: rollout.OpLeave, Member: rollout.Member{Name: c.Name, Incarnation: c.Incarnation}})
		}
	}
}
