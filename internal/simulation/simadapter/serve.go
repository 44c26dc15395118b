// Package simadapter connects package policy to the simulator's wire protocol: one process hosts many
// instances, each with its own policy.Balancer. The package makes no decisions itself.
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

const inputBufferSize = 1 << 16 // bytes

// Serve replies to batches of events until the end of the input.
func Serve(in io.Reader, out io.Writer) error {
	p := newProcess()
	r := simwire.NewReader(bufio.NewReaderSize(in, inputBufferSize))
	for {
		b, err := r.ReadBatch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		p.reply.Begin(b.Number)
		if err := p.batch(b); err != nil {
			return fmt.Errorf("batch %d: %w", b.Number, err)
		}
		if _, err := out.Write(p.reply.Bytes()); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

// process holds the instances and the endpoint lists that they share.
type process struct {
	reply     simwire.ReplyWriter
	lists     map[uint16][]policy.Endpoint // by page number
	instances map[uint32]*instance
}

func newProcess() *process {
	return &process{lists: make(map[uint16][]policy.Endpoint), instances: make(map[uint32]*instance)}
}

// batch handles the events of a batch in order.
func (p *process) batch(b simwire.Batch) error {
	body := b.Body
	for range b.Records {
		record, rest, err := simwire.NextRecord(body)
		if err != nil {
			return err
		}
		body = rest
		if err := p.event(b.Clock, record); err != nil {
			return err
		}
	}
	if len(body) > 0 {
		return fmt.Errorf("%d unexpected bytes after the last record", len(body))
	}
	return nil
}

// event handles one event. Events with an unknown or unused code and events for an instance that is
// not running are ignored.
func (p *process) event(now time.Duration, record simwire.Record) error {
	switch record.Code {
	case simwire.EventManifest:
		return p.manifest(record)
	case simwire.EventOpenInstance:
		return p.open(now, record)
	case simwire.EventCrashNow:
		number, err := record.Instance()
		if err == nil {
			delete(p.instances, number)
		}
		return err
	}
	handle := handlers[record.Code]
	if handle == nil {
		return nil
	}
	number, err := record.Instance()
	if err != nil {
		return err
	}
	i := p.instances[number]
	if i == nil || i.balancer == nil {
		return nil
	}
	return i.event(now, record, handle)
}

// manifest stores an endpoint list under its page number.
func (p *process) manifest(record simwire.Record) error {
	page, entries, err := record.Manifest()
	if err != nil {
		return err
	}
	p.lists[page] = endpoints(entries)
	return nil
}

// open starts an instance. It replaces a running instance of the same number.
func (p *process) open(now time.Duration, record simwire.Record) error {
	number, err := record.Instance()
	if err != nil {
		return err
	}
	seed, info, err := record.OpenInstance()
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
	i := &instance{process: p, number: number, loadColumns: s.LoadColumns()}
	p.instances[number] = i
	return i.reportPanic(func() error { return i.start(now, config, seed) })
}
