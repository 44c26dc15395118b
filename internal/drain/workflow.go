package drain

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"barleywick/internal/registry"
)

// Registry is what the workflow needs of the list.
type Registry interface {
	Registrations(ctx context.Context) (registry.RegistrationsResponse, error)
	Record(ctx context.Context, key string) (registry.Record, error)
	Put(ctx context.Context, key string, value []byte, ifVersion *uint64) (uint64, error)
	Mark(ctx context.Context, m registry.MarkRequest) (registry.WriteResponse, error)
}

// Fleet is what the workflow needs to know of the world, and to do in it.
type Fleet interface {
	// Notified says whether all sidecars hold a version of the list; since is when it came.
	Notified(ctx context.Context, seq uint64, since time.Time) (bool, error)
	// Idle says whether a server, marked at that time, has no work any more.
	Idle(ctx context.Context, server registry.Registration, since time.Time) (bool, error)
	// Stop stops a server's processes. It may be called again for one that is stopped.
	Stop(ctx context.Context, machine, host string) error
	// RemainingMembers names the machine's processes that have not ended for sure. waits says whether
	// they are to be waited for.
	RemainingMembers(ctx context.Context, machine string) (there []string, waits bool, err error)
}

// Workflow runs drains for one operator.
type Workflow struct {
	Registry     Registry
	Fleet        Fleet
	Floor        Floor
	Owner        string
	ClaimTTL     time.Duration                                    // how long a claim lasts without a renewal
	PollInterval time.Duration                                    // between two looks at what is waited for
	Now          func() time.Time                                 // the clock that all machines read
	Sleep        func(ctx context.Context, d time.Duration) error // waits, or returns ctx's error
	Say          func(format string, args ...any)                 // tells the operator

	mu        sync.Mutex
	marksSeen map[string]seenMark // by machine: the marks that this process has seen
}

// Plan says what a drain of the machine would do, and changes nothing.
func (w *Workflow) Plan(ctx context.Context, machine string) (Plan, error) {
	d, err := w.readRecord(ctx)
	if err != nil {
		return Plan{}, err
	}
	if own, is := d.drains[machine]; is {
		if err := w.checkResumable(own); err != nil {
			return Plan{}, err
		}
		return Plan{Machine: machine, Hosts: own.Hosts, ResumesAt: own.Step}, nil
	}
	return w.checkFloor(ctx, machine, d)
}

// checkResumable says why a drain under way cannot be taken over, if it cannot.
func (w *Workflow) checkResumable(own Drain) error {
	switch {
	case own.Step == Done:
		return refusal("machine %s is drained already; undrain brings it back", own.Machine)
	case own.Step == Undoing:
		return refusal("the drain of machine %s is being undone; let undrain end that first", own.Machine)
	}
	return w.checkUnclaimed(own)
}

// checkUnclaimed says whose claim is in the way.
func (w *Workflow) checkUnclaimed(own Drain) error {
	if own.Owner == OwnerControllers && w.Owner != OwnerControllers {
		return refusal("machine %s is being drained by the keepers, at step %s; status follows it, undrain takes it back", own.Machine, own.Step)
	}
	if left := own.ExpiresMS - w.Now().UnixMilli(); own.Owner != w.Owner && left > 0 {
		return refusal("machine %s is claimed by %s, at step %s; its claim lasts another %v unless it is renewed",
			own.Machine, own.Owner, own.Step, (time.Duration(left) * time.Millisecond).Round(time.Second))
	}
	return nil
}

// Drain drains a machine, or resumes its drain. If ctx ends before the machine's
// processes are being stopped, it is undone.
func (w *Workflow) Drain(ctx context.Context, machine string) error {
	own, err := w.claim(ctx, machine)
	if err != nil {
		return err
	}
	for own.Step != Done {
		step := own.Step
		if own, err = w.takeStep(ctx, own); err != nil {
			// A keeper that is to stop leaves the drain to the next one.
			passed := w.Owner == OwnerControllers && errors.Is(ctx.Err(), context.Canceled)
			if ctx.Err() != nil && step != Stopping && step != Stopped && !errors.Is(err, ErrClaimLost) && !passed {
				return w.undoAfterTimeout(ctx, machine, step)
			}
			return err
		}
		if own.Step != step {
			w.Say("%s: %s", machine, own.Step)
		}
	}
	return nil
}

// claim makes the machine's drain ours: a new one if the floor allows, or one that
// nobody holds any more.
func (w *Workflow) claim(ctx context.Context, machine string) (own Drain, err error) {
	_, err = w.updateDrain(ctx, machine, func(d record, was Drain, is bool) (Drain, bool, error) {
		now := w.Now()
		if is {
			if err := w.checkResumable(was); err != nil {
				return was, true, err
			}
			own = was
		} else {
			p, err := w.checkFloor(ctx, machine, d)
			if err != nil {
				return was, false, err
			}
			own = Drain{Machine: machine, Step: Claimed, Hosts: p.Hosts, BeganMS: now.UnixMilli()}
		}
		own.Owner, own.ExpiresMS = w.Owner, now.Add(w.ClaimTTL).UnixMilli()
		return own, true, nil
	})
	if err == nil {
		w.Say("%s: %s, servers %s", machine, own.Step, strings.Join(own.Hosts, ", "))
	}
	return own, err
}

// undoAfterTimeout undoes a drain whose time is up.
func (w *Workflow) undoAfterTimeout(ctx context.Context, machine string, step Step) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.ClaimTTL)
	defer cancel()
	if err := w.Undrain(ctx, machine); err != nil {
		return fmt.Errorf("%s: %w at step %s, and it could not be undone: %w; drain it again to resume, or undrain it", machine, ErrTimeout, step, err)
	}
	return fmt.Errorf("%s: %w at step %s; the drain is undone", machine, ErrTimeout, step)
}

// Undrain takes a machine's drain back, whatever step it has come to, and lets its
// servers be used again when they are there.
func (w *Workflow) Undrain(ctx context.Context, machine string) error {
	var own Drain
	if _, err := w.updateDrain(ctx, machine, func(_ record, was Drain, is bool) (Drain, bool, error) {
		if !is {
			return was, false, refusal("machine %q is not drained, and not being drained", machine)
		}
		if was.Step != Done && was.Owner != OwnerControllers {
			if err := w.checkUnclaimed(was); err != nil {
				return was, true, err
			}
		}
		own = was
		own.Step, own.Owner, own.ExpiresMS = Undoing, w.Owner, w.Now().Add(w.ClaimTTL).UnixMilli()
		return own, true, nil
	}); err != nil {
		return err
	}
	list, err := w.Registry.Registrations(ctx)
	if err != nil {
		return err
	}
	var hosts []string
	for h, m := range list.Marks {
		if m == markOwner(machine) {
			hosts = append(hosts, h)
		}
	}
	if slices.Sort(hosts); len(hosts) > 0 {
		if _, err := w.Registry.Mark(ctx, registry.MarkRequest{Hosts: hosts, MarkedBy: markOwner(machine)}); err != nil {
			return err
		}
	}
	_, err = w.updateDrain(ctx, machine, func(_ record, was Drain, is bool) (Drain, bool, error) {
		if is && (was.Owner != w.Owner || was.Step != Undoing) {
			return was, true, fmt.Errorf("%w: the drain of %s is %s by now", ErrClaimLost, machine, describeClaim(was, is))
		}
		return was, false, nil
	})
	if err == nil {
		w.Say("%s: undone, servers %s", machine, strings.Join(own.Hosts, ", "))
	}
	return err
}

// Status returns all drains, by machine.
func (w *Workflow) Status(ctx context.Context) ([]Drain, error) {
	d, err := w.readRecord(ctx)
	if err != nil {
		return nil, err
	}
	var all []Drain
	for _, m := range slices.Sorted(maps.Keys(d.drains)) {
		all = append(all, d.drains[m])
	}
	return all, nil
}
