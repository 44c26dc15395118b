package drain

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"barleywick/internal/registry"
)

// record is the record of all record at a version.
type record struct {
	drains  map[string]Drain
	version uint64
}

// readRecord reads the record.
func (w *Workflow) readRecord(ctx context.Context) (record, error) {
	d := record{drains: make(map[string]Drain)}
	r, err := w.Registry.Record(ctx, RecordKey)
	if errors.Is(err, registry.ErrNotFound) {
		return d, nil
	} else if err != nil {
		return d, err
	}
	if err := json.Unmarshal(r.Value, &d.drains); err != nil {
		return d, fmt.Errorf("the record %s in the registry cannot be read: %w", RecordKey, err)
	}
	d.version = r.Version
	return d, nil
}

// writeRecord writes the record if nobody has since it was read. registry.ErrConflict
// says that somebody has.
func (w *Workflow) writeRecord(ctx context.Context, d *record) error {
	text, err := json.Marshal(d.drains)
	if err != nil {
		return err
	}
	v, err := w.Registry.Put(ctx, RecordKey, text, &d.version)
	if err == nil {
		d.version = v
	}
	return err
}

// updateDrain changes one machine's drain as change says, in the newest record.
func (w *Workflow) updateDrain(ctx context.Context, machine string, change func(d record, own Drain, is bool) (Drain, bool, error)) (record, error) {
	for {
		d, err := w.readRecord(ctx)
		if err != nil {
			return d, err
		}
		own, is := d.drains[machine]
		next, keep, err := change(d, own, is)
		if err != nil {
			return d, err
		}
		if keep {
			d.drains[machine] = next
		} else {
			delete(d.drains, machine)
		}
		if err := w.writeRecord(ctx, &d); !errors.Is(err, registry.ErrConflict) {
			return d, err
		}
	}
}

// updateClaimed changes a drain whose claim has to be ours, and renews the claim.
func (w *Workflow) updateClaimed(ctx context.Context, machine string, change func(own *Drain)) (Drain, record, error) {
	var got Drain
	d, err := w.updateDrain(ctx, machine, func(_ record, own Drain, is bool) (Drain, bool, error) {
		if !is || own.Owner != w.Owner {
			return own, is, fmt.Errorf("%w: the drain of %s is %s by now; nothing more was changed here", ErrClaimLost, machine, describeClaim(own, is))
		}
		if change != nil {
			change(&own)
		}
		own.ExpiresMS = w.Now().Add(w.ClaimTTL).UnixMilli()
		got = own
		return own, true, nil
	})
	return got, d, err
}

func describeClaim(d Drain, is bool) string {
	if !is {
		return "over"
	}
	return fmt.Sprintf("%s's, at step %s", d.Owner, d.Step)
}
