package drain

import (
	"context"
	"errors"
	"fmt"
	"time"

	"barleywick/internal/registry"
)

// HandOver claims a machine's drain for the controllers, which run it from then on whether this
// process lives or not. The floor is checked here. The controllers undo the drain if it has not
// come to Stopping by the deadline.
func (w *Workflow) HandOver(ctx context.Context, machine string, deadline time.Time) error {
	_, err := w.updateDrain(ctx, machine, func(rec record, current *Drain) (*Drain, error) {
		if current != nil && current.Owner == OwnerControllers && current.Step != Done && current.Step != Undoing {
			return current, nil // it has been handed over before
		}
		next, err := w.newOrResumable(ctx, machine, rec, current)
		if err != nil {
			return nil, err
		}
		if current == nil {
			next.BeganMS = w.Now().UnixMilli()
		}
		next.Owner, next.DeadlineMS, next.Note = OwnerControllers, deadline.UnixMilli(), ""
		next.ExpiresMS = w.claimExpiry()
		return &next, nil
	})
	return err
}

// Follow reports how a drain that was handed over goes on, until it has ended. It returns
// ErrTimeout if the drain was undone.
func (w *Workflow) Follow(ctx context.Context, machine string) error {
	var last Drain
	for {
		rec, err := w.readRecord(ctx)
		if err != nil {
			return err
		}
		d, exists := rec.drains[machine]
		switch {
		case !exists:
			return fmt.Errorf("%s: %w: the drain was undone", machine, ErrTimeout)
		case d.Step != last.Step:
			w.OnEvent(Event{Kind: EventStep, Machine: machine, Step: d.Step})
		case d.Note != last.Note && d.Note != "":
			w.OnEvent(Event{Kind: EventNoted, Machine: machine, Step: d.Step, Note: d.Note})
		}
		if last = d; d.Step == Done {
			return nil
		}
		if err := w.Sleep(ctx, w.PollInterval); err != nil {
			return err
		}
	}
}

// HandedOver returns the drains that the controllers have to run, or to undo.
func (w *Workflow) HandedOver(ctx context.Context) ([]Drain, error) {
	all, err := w.Status(ctx)
	var handed []Drain
	for _, d := range all {
		if d.Owner == OwnerControllers && d.Step != Done {
			handed = append(handed, d)
		}
	}
	return handed, err
}

// Resume goes on with a drain that was handed over, at whatever step it is. It notes in the
// record why the drain fails.
func (w *Workflow) Resume(ctx context.Context, d Drain) error {
	if d.Step == Undoing {
		return w.Undrain(ctx, d.Machine)
	}
	err := w.drainUntil(ctx, d)
	switch {
	case err == nil, ctx.Err() != nil, errors.Is(err, ErrClaimLost), errors.Is(err, ErrTimeout), errors.Is(err, registry.ErrFenced):
		return err
	}
	if _, _, noteErr := w.updateClaimed(ctx, d.Machine, func(d *Drain) { d.Note = err.Error() }); noteErr != nil {
		return errors.Join(err, noteErr)
	}
	return err
}

// drainUntil drains the machine within the drain's deadline, where it has one. A drain whose
// deadline passed while no controller ran is undone at once. The deadline is of the wall clock:
// it is compared with that once, and the time that is left is measured by the monotonic one.
func (w *Workflow) drainUntil(ctx context.Context, d Drain) error {
	if !d.Step.canTimeOut() || d.DeadlineMS == 0 {
		return w.Drain(ctx, d.Machine)
	}
	left := time.UnixMilli(d.DeadlineMS).Sub(w.Now())
	if left <= 0 {
		return w.undoAfterTimeout(ctx, d.Machine, d.Step)
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	return w.Drain(ctx, d.Machine)
}
