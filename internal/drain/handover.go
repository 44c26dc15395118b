package drain

import (
	"context"
	"errors"
	"fmt"
	"time"

	"barleywick/internal/registry"
)

// withOwner is the same workflow for another owner.
func (w *Workflow) withOwner(owner string) *Workflow {
	return &Workflow{
		Registry: w.Registry, Fleet: w.Fleet, Floor: w.Floor, Owner: owner,
		ClaimTTL: w.ClaimTTL, PollInterval: w.PollInterval, Now: w.Now, Sleep: w.Sleep, Say: w.Say,
	}
}

// HandOver claims a machine's drain for the keepers, which run it from then on, whether
// this process lives or not. The floor is checked here and now; until is when they are
// to undo it if it has not come to stopping by then.
func (w *Workflow) HandOver(ctx context.Context, machine string, until time.Time) error {
	theirs := w.withOwner(OwnerControllers)
	_, err := theirs.updateDrain(ctx, machine, func(d record, was Drain, is bool) (Drain, bool, error) {
		if is && was.Owner == OwnerControllers && was.Step != Done && was.Step != Undoing {
			return was, true, nil // they have it already
		}
		own := was
		if is {
			if err := w.checkResumable(was); err != nil { // by the operator's own claim, or nobody's
				return was, true, err
			}
		} else {
			p, err := w.checkFloor(ctx, machine, d)
			if err != nil {
				return was, false, err
			}
			own = Drain{Machine: machine, Step: Claimed, Hosts: p.Hosts, BeganMS: w.Now().UnixMilli()}
		}
		own.Owner, own.DeadlineMS, own.Note = OwnerControllers, until.UnixMilli(), ""
		own.ExpiresMS = w.Now().Add(w.ClaimTTL).UnixMilli()
		return own, true, nil
	})
	return err
}

// Follow tells how a drain that was handed over goes on, until it has ended.
func (w *Workflow) Follow(ctx context.Context, machine string) error {
	var said Drain
	for {
		d, err := w.readRecord(ctx)
		if err != nil {
			return err
		}
		own, is := d.drains[machine]
		switch {
		case !is:
			return fmt.Errorf("%s: %w: the drain was undone", machine, ErrTimeout)
		case own.Step != said.Step:
			w.Say("%s: %s", machine, own.Step)
		case own.Note != said.Note && own.Note != "":
			w.Say("%s: %s, %s", machine, own.Step, own.Note)
		}
		if said = own; own.Step == Done {
			return nil
		}
		if err := w.Sleep(ctx, w.PollInterval); err != nil {
			return err
		}
	}
}

// HandedOver returns the drains that keepers are to run, or to go on undoing.
func (w *Workflow) HandedOver(ctx context.Context) (machines []Drain, err error) {
	all, err := w.Status(ctx)
	for _, d := range all {
		if d.Owner == OwnerControllers && d.Step != Done {
			machines = append(machines, d)
		}
	}
	return machines, err
}

// Resume goes on with one that was handed over, from whatever step it has come to. What
// hinders it is noted in its record.
func (w *Workflow) Resume(ctx context.Context, d Drain) error {
	if d.Step == Undoing {
		return w.Undrain(ctx, d.Machine)
	}
	in, cancel := context.WithDeadline(ctx, time.UnixMilli(d.DeadlineMS))
	defer cancel()
	if d.Step == Stopping || d.Step == Stopped || d.DeadlineMS == 0 {
		in = ctx // there is no way back
	}
	err := w.Drain(in, d.Machine)
	switch {
	case err == nil, ctx.Err() != nil, errors.Is(err, ErrClaimLost), errors.Is(err, ErrTimeout), errors.Is(err, registry.ErrFenced):
		return err
	}
	if _, _, noted := w.updateClaimed(ctx, d.Machine, func(own *Drain) { own.Note = err.Error() }); noted != nil {
		return errors.Join(err, noted)
	}
	return err
}
