// Package simadapter plays the decision module on the simulator's wire: it hosts many
// instances, each a policy.Balancer of its own. It decides nothing itself.
package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"barleywick/internal/settings"
	"barleywick/internal/simulation/simwire"
	"barleywick/policy"
)

// Serve answers batches until the input ends.
func Serve(in io.Reader, out io.Writer) error {
	h := newHost()
	r := simwire.NewReader(bufio.NewReaderSize(in, 1<<16))
	for {
		b, err := r.ReadBatch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		h.reply.Begin(b.Number)
		if err := h.batch(b); err != nil {
			return fmt.Errorf("batch %d: %w", b.Number, err)
		}
		if _, err := out.Write(h.reply.Bytes()); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

// process holds the instances of this process and what they share: the numbered
// lists of the wire and the reply under way.
type process struct {
	reply     simwire.ReplyWriter
	lists     map[uint16][]policy.Endpoint
	instances map[uint32]*instance
}

func newHost() *process {
	return &process{lists: make(map[uint16][]policy.Endpoint), instances: make(map[uint32]*instance)}
}

// batch hands the events of one batch to their instances, in order.
func (h *process) batch(b simwire.Batch) error {
	body := b.Body
	for range b.Records {
		rec, rest, err := simwire.NextRecord(body)
		if err != nil {
			return err
		}
		body = rest
		if err := h.record(b.Clock, rec); err != nil {
			return err
		}
	}
	if len(body) > 0 {
		return fmt.Errorf("%d bytes behind the last record", len(body))
	}
	return nil
}

func (h *process) record(now time.Duration, rec simwire.Record) error {
	switch rec.Code {
	case simwire.EventManifest:
		page, entries, err := rec.Manifest()
		if err != nil {
			return err
		}
		h.lists[page] = servers(entries)
		return nil
	case simwire.EventOpenInstance, simwire.EventCrashNow, simwire.EventFleet, simwire.EventAsk, simwire.EventFinished, simwire.EventWake,
		simwire.EventClientLeft, simwire.EventHeaders, simwire.EventCheckResult:
	default:
		return nil // a code of a later version, or one that the module has no use for
	}
	number, err := rec.Instance()
	if err != nil {
		return err
	}
	switch rec.Code {
	case simwire.EventOpenInstance:
		return h.open(now, number, rec)
	case simwire.EventCrashNow:
		delete(h.instances, number)
		return nil
	}
	i := h.instances[number]
	if i == nil || i.balancer == nil {
		return nil // not running: nothing may be done for it
	}
	return i.event(now, rec)
}

// open starts an instance anew.
func (h *process) open(now time.Duration, number uint32, rec simwire.Record) error {
	seed, info, err := rec.OpenInstance()
	if err != nil {
		return err
	}
	s, err := settings.ParseLines(info)
	if err != nil {
		return fmt.Errorf("instance %d: %w", number, err)
	}
	config, err := s.PolicyConfig()
	if err != nil {
		return fmt.Errorf("instance %d: %w", number, err)
	}
	i := &instance{host: h, number: number, loadColumns: s.LoadColumns()}
	h.instances[number] = i
	return i.reportPanic(func() error {
		b, err := policy.New(config, seed, i)
		if err != nil {
			return fmt.Errorf("instance %d: %w", number, err)
		}
		i.balancer = b
		b.Start(now)
		return nil
	})
}
