package drain

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"barleywick/internal/registry"
)

// Registry is the part of the registry's API that the workflow uses.
type Registry interface {
	Registrations(ctx context.Context) (registry.RegistrationsResponse, error)
	Record(ctx context.Context, key string) (registry.Record, error)
	Put(ctx context.Context, key string, value []byte, ifVersion *uint64) (uint64, error)
	Mark(ctx context.Context, m registry.MarkRequest) (registry.WriteResponse, error)
}

// Fleet observes sidecars, servers and members of the fleet for the workflow, and stops servers.
type Fleet interface {
	// Notified reports whether all sidecars have version seq of the endpoint list, which has
	// existed since the given time.
	Notified(ctx context.Context, seq uint64, since time.Time) (bool, error)
	// Idle reports whether a server, which has been marked since the given time, has no work.
	Idle(ctx context.Context, server registry.Registration, since time.Time) (bool, error)
	// Stop stops a server's processes. It may be called again for one that is stopped.
	Stop(ctx context.Context, machine, host string) error
	// RemainingMembers returns the names of the machine's processes that are members of the fleet and
	// are not known to have ended. wait reports whether the drain has to wait for them.
	RemainingMembers(ctx context.Context, machine string) (names []string, wait bool, err error)
}

// Workflow runs drains for one owner. Its exported fields must not change after the first call. It
// is safe for concurrent use.
type Workflow struct {
	Registry     Registry
	Fleet        Fleet
	Floor        Floor
	Owner        string                                           // the name under which drains are claimed
	ClaimTTL     time.Duration                                    // how long a claim lasts without a renewal
	PollInterval time.Duration                                    // between two checks of a condition that a step waits for
	Now          func() time.Time                                 // a clock that is the same on all machines
	Sleep        func(ctx context.Context, d time.Duration) error // waits for d, or returns ctx's error
	OnEvent      func(Event)                                      // called with each event of a drain's progress

	mu        sync.Mutex
	marksSeen map[string]seenMark // by machine
}

// Plan returns what a drain of the machine would do, and changes nothing.
func (w *Workflow) Plan(ctx context.Context, machine string) (Plan, error) {
	rec, err := w.readRecord(ctx)
	if err != nil {
		return Plan{}, err
	}
	d, exists := rec.drains[machine]
	if !exists {
		return w.checkFloor(ctx, machine, rec)
	}
	if err := w.checkResumable(d); err != nil {
		return Plan{}, err
	}
	return Plan{Machine: machine, Hosts: d.Hosts, ResumesAt: d.Step}, nil
}

// checkResumable returns ErrRefused if a drain cannot be resumed by this owner.
func (w *Workflow) checkResumable(d Drain) error {
	switch d.Step {
	case Done:
		return refusal("machine %s is drained already; undrain brings it back", d.Machine)
	case Undoing:
		return refusal("the drain of machine %s is being undone; let undrain end that first", d.Machine)
	}
	return w.checkUnclaimed(d)
}

// checkUnclaimed returns ErrRefused if another owner has the claim.
func (w *Workflow) checkUnclaimed(d Drain) error {
	if d.Owner == OwnerControllers && w.Owner != OwnerControllers {
		return refusal("machine %s is being drained by the controllers, at step %s; use status to follow it, undrain to undo it", d.Machine, d.Step)
	}
	remaining := time.Duration(d.ExpiresMS-w.Now().UnixMilli()) * time.Millisecond
	if d.Owner != w.Owner && remaining > 0 {
		return refusal("machine %s is claimed by %s, at step %s; its claim lasts another %v unless it is renewed",
			d.Machine, d.Owner, d.Step, remaining.Round(time.Second))
	}
	return nil
}

// Drain drains a machine, or resumes its drain. If ctx ends before the step Stopping, the drain is
// undone.
func (w *Workflow) Drain(ctx context.Context, machine string) error {
	d, err := w.claim(ctx, machine)
	if err != nil {
		return err
	}
	for d.Step != Done {
		step := d.Step
		if d, err = w.takeStep(ctx, d); err != nil {
			if ctx.Err() != nil && step.canTimeOut() && !errors.Is(err, ErrClaimLost) && !w.leftToNextController(ctx) {
				return w.undoAfterTimeout(ctx, machine, step)
			}
			return err
		}
		if d.Step != step {
			w.OnEvent(Event{Kind: EventStep, Machine: machine, Step: d.Step})
		}
	}
	return nil
}

// leftToNextController reports whether the drain is left to another controller, because this one
// ends.
func (w *Workflow) leftToNextController(ctx context.Context) bool {
	return w.Owner == OwnerControllers && errors.Is(ctx.Err(), context.Canceled)
}

// claim claims a new drain, or one that can be resumed.
func (w *Workflow) claim(ctx context.Context, machine string) (Drain, error) {
	var claimed Drain
	_, err := w.updateDrain(ctx, machine, func(rec record, current *Drain) (*Drain, error) {
		now := w.Now()
		next, err := w.newOrResumable(ctx, machine, rec, current)
		if err != nil {
			return nil, err
		}
		if current == nil {
			next.BeganMS = now.UnixMilli()
		}
		next.Owner, next.ExpiresMS = w.Owner, now.Add(w.ClaimTTL).UnixMilli()
		claimed = next
		return &next, nil
	})
	if err != nil {
		return Drain{}, err
	}
	w.OnEvent(Event{Kind: EventClaimed, Machine: machine, Step: claimed.Step, Hosts: claimed.Hosts})
	return claimed, nil
}

// newOrResumable returns the machine's current drain if this owner may resume it, or a new one,
// without a claim, if there is none and the floor allows it.
func (w *Workflow) newOrResumable(ctx context.Context, machine string, rec record, current *Drain) (Drain, error) {
	if current != nil {
		return *current, w.checkResumable(*current)
	}
	plan, err := w.checkFloor(ctx, machine, rec)
	if err != nil {
		return Drain{}, err
	}
	return Drain{Machine: machine, Step: Claimed, Hosts: plan.Hosts}, nil
}

// undoAfterTimeout undoes a drain whose deadline has passed.
func (w *Workflow) undoAfterTimeout(ctx context.Context, machine string, step Step) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.ClaimTTL)
	defer cancel()
	if err := w.Undrain(ctx, machine); err != nil {
		return fmt.Errorf("%s: %w at step %s, and it could not be undone: %w; drain it again to resume, or undrain it", machine, ErrTimeout, step, err)
	}
	return fmt.Errorf("%s: %w at step %s; the drain is undone", machine, ErrTimeout, step)
}

// Undrain undoes a machine's drain at any step, so that those of its servers that run receive
// requests again.
func (w *Workflow) Undrain(ctx context.Context, machine string) error {
	undone, err := w.claimUndo(ctx, machine)
	if err != nil {
		return err
	}
	if err := w.unmarkServers(ctx, machine); err != nil {
		return err
	}
	if err := w.endUndo(ctx, machine); err != nil {
		return err
	}
	w.OnEvent(Event{Kind: EventUndone, Machine: machine, Hosts: undone.Hosts})
	return nil
}

// claimUndo claims a drain in order to undo it. A drain that is done, or that the controllers run,
// is taken over from its owner; the claim of another operator must have expired.
func (w *Workflow) claimUndo(ctx context.Context, machine string) (Drain, error) {
	var claimed Drain
	_, err := w.updateDrain(ctx, machine, func(_ record, current *Drain) (*Drain, error) {
		if current == nil {
			return nil, refusal("machine %q is not drained, and not being drained", machine)
		}
		if current.Step != Done && current.Owner != OwnerControllers {
			if err := w.checkUnclaimed(*current); err != nil {
				return nil, err
			}
		}
		current.Step, current.Owner, current.ExpiresMS = Undoing, w.Owner, w.claimExpiry()
		claimed = *current
		return current, nil
	})
	return claimed, err
}

// unmarkServers removes all marks of a machine's drain.
func (w *Workflow) unmarkServers(ctx context.Context, machine string) error {
	list, err := w.Registry.Registrations(ctx)
	if err != nil {
		return err
	}
	var hosts []string
	for host, marker := range list.Marks {
		if marker == markOwner(machine) {
			hosts = append(hosts, host)
		}
	}
	if len(hosts) == 0 {
		return nil
	}
	slices.Sort(hosts)
	_, err = w.Registry.Mark(ctx, registry.MarkRequest{Hosts: hosts, MarkedBy: markOwner(machine)})
	return err
}

// endUndo removes a drain from the record, unless another owner has claimed it.
func (w *Workflow) endUndo(ctx context.Context, machine string) error {
	_, err := w.updateDrain(ctx, machine, func(_ record, current *Drain) (*Drain, error) {
		if current != nil && (current.Owner != w.Owner || current.Step != Undoing) {
			return nil, fmt.Errorf("%w: the drain of %s is now %s", ErrClaimLost, machine, describeClaim(current))
		}
		return nil, nil
	})
	return err
}

// Status returns all drains, by machine.
func (w *Workflow) Status(ctx context.Context) ([]Drain, error) {
	rec, err := w.readRecord(ctx)
	if err != nil {
		return nil, err
	}
	var drains []Drain
	for _, machine := range slices.Sorted(maps.Keys(rec.drains)) {
		drains = append(drains, rec.drains[machine])
	}
	return drains, nil
}
