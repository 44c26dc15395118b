package drain

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"barleywick/internal/registry"
)

// takeStep does what the takeStep that a drain is at asks for, and brings it to the next
// one, or leaves it there for another look. Each may be done again.
func (w *Workflow) takeStep(ctx context.Context, own Drain) (Drain, error) {
	switch own.Step {
	case Claimed:
		return w.markServers(ctx, own)
	case Marked:
		quiet, err := w.workEnded(ctx, own)
		if err != nil {
			return own, err
		}
		if !quiet {
			if err := w.Sleep(ctx, w.PollInterval); err != nil {
				return own, err
			}
			own, _, err = w.updateClaimed(ctx, own.Machine, nil)
			return own, err
		}
		return w.advanceTo(ctx, own, Drained)
	case Drained:
		return w.advanceTo(ctx, own, Stopping)
	case Stopping:
		for _, host := range own.Hosts {
			if err := w.Fleet.Stop(ctx, own.Machine, host); err != nil {
				return own, fmt.Errorf("%s: stopping %s: %w; drain it again to resume", own.Machine, host, err)
			}
			if _, _, err := w.updateClaimed(ctx, own.Machine, nil); err != nil {
				return own, err
			}
		}
		return w.advanceTo(ctx, own, Stopped)
	case Stopped:
		there, waits, err := w.Fleet.RemainingMembers(ctx, own.Machine)
		if !waits || err == nil && len(there) == 0 {
			return w.advanceTo(ctx, own, Done)
		}
		note := "waits for " + strings.Join(there, ", ") + " to end"
		if err != nil {
			note = "waits for somebody who knows its members: " + err.Error()
		}
		if note != own.Note {
			w.Say("%s: %s", own.Machine, note)
		}
		if err := w.Sleep(ctx, w.PollInterval); err != nil {
			return own, err
		}
		own, _, err = w.updateClaimed(ctx, own.Machine, func(d *Drain) { d.Note = note })
		return own, err
	}
	return own, fmt.Errorf("the drain of %s is at step %q, which this program does not know", own.Machine, own.Step)
}

func (w *Workflow) advanceTo(ctx context.Context, own Drain, to Step) (Drain, error) {
	next, _, err := w.updateClaimed(ctx, own.Machine, func(d *Drain) { d.Step = to })
	return next, err
}

// markServers marks the machine's servers, those that have come since among them, while
// the claim is ours: the registry checks that in the same command.
func (w *Workflow) markServers(ctx context.Context, own Drain) (Drain, error) {
	list, err := w.Registry.Registrations(ctx)
	if err != nil {
		return own, err
	}
	hosts := slices.Clone(own.Hosts)
	for _, e := range list.Registrations {
		if e.Machine == own.Machine && !slices.Contains(hosts, e.Host) {
			hosts = append(hosts, e.Host)
		}
	}
	hosts = slices.DeleteFunc(hosts, func(h string) bool { // one that has left needs no mark
		return !slices.ContainsFunc(list.Registrations, func(e registry.Registration) bool { return e.Host == h }) && list.Marks[h] == ""
	})
	slices.Sort(hosts)
	for {
		next, d, err := w.updateClaimed(ctx, own.Machine, func(x *Drain) { x.Hosts = hosts })
		if err != nil {
			return own, err
		}
		own = next
		var a registry.WriteResponse
		if len(hosts) > 0 {
			a, err = w.Registry.Mark(ctx, registry.MarkRequest{
				Hosts: hosts, MarkedBy: markOwner(own.Machine), Draining: true, IfRecord: RecordKey, IfRecordVersion: d.version,
			})
			if errors.Is(err, registry.ErrConflict) && !w.allMarked(ctx, own) {
				// Either another drain has moved on in the same record, or somebody else
				// has marked one of the servers.
				if err := w.checkForeignMarks(ctx, hosts, own.Machine); err != nil {
					return own, err
				}
				continue
			} else if err != nil && !errors.Is(err, registry.ErrConflict) {
				return own, err
			}
		}
		if a.Seq == 0 { // nobody is left to mark, or it had been done: the list of now has it
			if list, err = w.Registry.Registrations(ctx); err != nil {
				return own, err
			}
			a.Seq = list.Seq
		}
		next, _, err = w.updateClaimed(ctx, own.Machine, func(x *Drain) {
			x.Step, x.Seq, x.MarkedMS = Marked, a.Seq, w.Now().UnixMilli()
		})
		return next, err
	}
}

// allMarked says whether all its servers are allMarked by this drain already.
func (w *Workflow) allMarked(ctx context.Context, own Drain) bool {
	list, err := w.Registry.Registrations(ctx)
	return err == nil && !slices.ContainsFunc(own.Hosts, func(h string) bool { return list.Marks[h] != markOwner(own.Machine) })
}

// checkForeignMarks returns an error if somebody else has marked one of the servers.
func (w *Workflow) checkForeignMarks(ctx context.Context, hosts []string, machine string) error {
	list, err := w.Registry.Registrations(ctx)
	if err != nil {
		return err
	}
	for _, h := range hosts {
		if m := list.Marks[h]; m != "" && m != markOwner(machine) {
			return fmt.Errorf("server %s is marked by %s: let that end, then drain %s again or undrain it", h, m, machine)
		}
	}
	return nil
}

// markedSince is since when a drain has been marked at the latest, as this process can tell by its
// monotonic clock: since it saw the mark first. The record has the wall clock's time, and that may
// be set ahead by an hour: sidecars would count as told, and servers as idle, that are not.
func (w *Workflow) markedSince(own Drain) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if seen, ok := w.marksSeen[own.Machine]; ok && seen.at == own.MarkedMS {
		return seen.since
	}
	if w.marksSeen == nil {
		w.marksSeen = make(map[string]seenMark)
	}
	now := w.Now()
	w.marksSeen[own.Machine] = seenMark{at: own.MarkedMS, since: now}
	return now
}

// seenMark is a mark that this process has seen: what the record says, and when that was.
type seenMark struct {
	at    int64
	since time.Time
}

// workEnded says whether the sidecars know of the marks and the servers have no work.
func (w *Workflow) workEnded(ctx context.Context, own Drain) (bool, error) {
	since := w.markedSince(own)
	told, err := w.Fleet.Notified(ctx, own.Seq, since)
	if err != nil || !told {
		return false, err
	}
	list, err := w.Registry.Registrations(ctx)
	if err != nil {
		return false, err
	}
	for _, e := range list.Registrations {
		if e.Machine != own.Machine {
			continue
		}
		if list.Marks[e.Host] != markOwner(own.Machine) { // it came, or was marked by hand, since
			_, err := w.markServers(ctx, own)
			return false, err
		}
		idle, err := w.Fleet.Idle(ctx, e, since)
		if err != nil || !idle {
			return false, err
		}
	}
	return true, nil
}
