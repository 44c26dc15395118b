package drain

import (
	"context"
	"errors"
	"fmt"
	"time"

	"barleywick/internal/registry"
)

// HandOver claims a machine's drain for the controllers, which run it from then on even if this
// process ends. The floor is checked here. The controllers undo the drain if it has not reached
// Stopping by the deadline.
func (w *Workflow) HandOver(ctx context.Context, machine string, deadline time.Time) error {
	_, err := w.updateDrain(ctx, machine, func(rec record, current *Drain) (*Drain, error) {
		if current != nil && current.Owner == OwnerControllers && current.Step != Done && current.Step != Undoing {
			return current, nil // it was handed over before
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

// Follow reports the progress of a drain that was handed over, until it has ended. It returns
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
	var handedOver []Drain
	for _, d := range all {
		if d.Owner == OwnerControllers && d.Step != Done {
			handedOver = append(handedOver, d)
		}
	}
	return handedOver, err
}

// Resume continues a drain that was handed over, at its current step. If the drain fails, its
// error is stored as the note of the drain.
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

// drainUntil drains the machine within the drain's deadline, if it has one. A drain whose
// deadline passed while no controller ran is undone at once. The deadline is a wall-clock time:
// it is compared with the wall clock once, and the remaining time is measured by the monotonic clock.
func (w *Workflow) drainUntil(ctx context.Context, d Drain) error {
	if !d.Step.canTimeOut() || d.DeadlineMS == 0 {
		return w.Drain(ctx, d.Machine)
	}
	remaining := time.UnixMilli(d.DeadlineMS).Sub(w.Now())
	if remaining <= 0 {
		return w.undoAfterTimeout(ctx, d.Machine, d.Step)
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	return w.Drain(ctx, d.Machine)
}
