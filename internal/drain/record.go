package drain

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"barleywick/internal/registry"
)

// record is the state of all drains, as of one version of the registry's record.
type record struct {
	drains  map[string]Drain // by machine
	version uint64           // 0: there is no record yet
}

func (w *Workflow) readRecord(ctx context.Context) (record, error) {
	rec := record{drains: make(map[string]Drain)}
	stored, err := w.Registry.Record(ctx, RecordKey)
	if errors.Is(err, registry.ErrNotFound) {
		return rec, nil
	} else if err != nil {
		return rec, err
	}
	if err := json.Unmarshal(stored.Value, &rec.drains); err != nil {
		return rec, fmt.Errorf("the record %s in the registry cannot be read: %w", RecordKey, err)
	}
	rec.version = stored.Version
	return rec, nil
}

// writeRecord writes the record if it still has the version that was read, and returns
// registry.ErrConflict otherwise.
func (w *Workflow) writeRecord(ctx context.Context, rec *record) error {
	text, err := json.Marshal(rec.drains)
	if err != nil {
		return err
	}
	version, err := w.Registry.Put(ctx, RecordKey, text, &rec.version)
	if err == nil {
		rec.version = version
	}
	return err
}

// changeFunc returns the next state of a machine's drain; nil removes the drain. current is nil if
// the machine has no drain. It is called again if the record was changed concurrently.
type changeFunc func(rec record, current *Drain) (next *Drain, err error)

// updateDrain changes one machine's drain in the latest record. It writes nothing if change
// returns an error.
func (w *Workflow) updateDrain(ctx context.Context, machine string, change changeFunc) (record, error) {
	for {
		rec, err := w.readRecord(ctx)
		if err != nil {
			return rec, err
		}
		var current *Drain
		if d, exists := rec.drains[machine]; exists {
			current = &d
		}
		next, err := change(rec, current)
		if err != nil {
			return rec, err
		}
		if next != nil {
			rec.drains[machine] = *next
		} else {
			delete(rec.drains, machine)
		}
		if err := w.writeRecord(ctx, &rec); !errors.Is(err, registry.ErrConflict) {
			return rec, err
		}
	}
}

// updateClaimed changes a drain that this workflow's owner has claimed, and renews the claim.
// It returns ErrClaimLost if another owner has the claim. A nil change only renews it.
func (w *Workflow) updateClaimed(ctx context.Context, machine string, change func(d *Drain)) (Drain, record, error) {
	var updated Drain
	rec, err := w.updateDrain(ctx, machine, func(_ record, current *Drain) (*Drain, error) {
		if current == nil || current.Owner != w.Owner {
			return nil, fmt.Errorf("%w: the drain of %s is now %s; this call changed nothing more", ErrClaimLost, machine, describeClaim(current))
		}
		if change != nil {
			change(current)
		}
		current.ExpiresMS = w.claimExpiry()
		updated = *current
		return current, nil
	})
	return updated, rec, err
}

// claimExpiry returns when a claim that is renewed now expires, in Unix milliseconds.
func (w *Workflow) claimExpiry() int64 { return w.Now().Add(w.ClaimTTL).UnixMilli() }

func describeClaim(d *Drain) string {
	if d == nil {
		return "ended"
	}
	return fmt.Sprintf("claimed by %s, at step %s", d.Owner, d.Step)
}
