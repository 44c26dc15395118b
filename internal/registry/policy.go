package registry

import (
	"errors"
	"fmt"
	"strings"

	"barleywick/internal/rollout"
)

// RosterLeasePrefix is the prefix of the names of roster leases. A sidecar whose policy
// requires it to refuse requests while it is disconnected from the registry serves only
// while it holds such a lease. The end of the lease proves that the sidecar has stopped
// serving, so the command that ends the lease also removes the sidecar from the roster.
const RosterLeasePrefix = "seat:"

// Rollout returns the fleet policy and its rollout. The caller must not change it.
func (s *State) Rollout() *rollout.State { return s.rollout }

// rolloutErrors maps the errors of package rollout to the errors of this package.
var rolloutErrors = []struct{ registryErr, rolloutErr error }{
	{ErrInvalid, rollout.ErrInvalid},
	{ErrConflict, rollout.ErrConflict},
	{ErrNotFound, rollout.ErrNotFound},
	{ErrLimitReached, rollout.ErrLimitReached},
}

// applyPolicyStep applies a step of a rollout.
func (s *State) applyPolicyStep(c Command) (Result, error) {
	if c.PolicyStep == nil {
		return Result{}, invalid("no step of a change of policy")
	}
	step := *c.PolicyStep
	step.AtMS = c.AtMS
	if step.Op == rollout.OpAdvance && c.Fence == nil {
		return Result{}, invalid("to advance a change is for the holder of its lease")
	}
	err := s.rollout.Apply(step)
	for _, e := range rolloutErrors {
		if errors.Is(err, e.rolloutErr) {
			err = fmt.Errorf("%w: %w", e.registryErr, err)
			break
		}
	}
	return Result{Version: s.rollout.Version()}, err
}

// applyLeaseCommand applies a command on leases and removes sidecars whose roster leases it
// ends from the roster.
func (s *State) applyLeaseCommand(c Command) (Result, error) {
	grants := s.rosterLeasesEndedBy(c)
	r, err := s.leases.apply(c.Op, c.Lease)
	if err != nil {
		return r, err
	}
	return r, s.removeFromRoster(grants)
}

// rosterLeasesEndedBy returns the grants of the roster leases that a command may end.
func (s *State) rosterLeasesEndedBy(c Command) (grants []Claim) {
	if c.Lease == nil || c.Op != OpExpireClaims && c.Op != OpReleaseLease {
		return nil
	}
	names := []string{c.Lease.Name}
	for _, ref := range c.Lease.Expired {
		names = append(names, ref.Lease)
	}
	for _, name := range names {
		if l := s.leases.leases[name]; strings.HasPrefix(name, RosterLeasePrefix) && l != nil && l.Grant != nil {
			grants = append(grants, l.Grant.Claim)
		}
	}
	return grants
}

// removeFromRoster removes the sidecars that no longer hold their roster leases from the
// roster.
func (s *State) removeFromRoster(grants []Claim) error {
	for _, c := range grants {
		if l := s.leases.leases[RosterLeasePrefix+c.Name]; l != nil && l.Grant != nil && l.Grant.ID == c.ID {
			continue
		}
		leave := rollout.Command{Op: rollout.OpLeave, Member: rollout.Member{Name: c.Name, Incarnation: c.Incarnation}}
		if err := s.rollout.Apply(leave); err != nil {
			return err
		}
	}
	return nil
}
