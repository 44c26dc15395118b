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

// takeStep runs a drain's current step once. It returns the drain at the next step, or at the
// same one if it has to wait. Each step may be repeated.
func (w *Workflow) takeStep(ctx context.Context, d Drain) (Drain, error) {
	switch d.Step {
	case Claimed:
		return w.markServers(ctx, d)
	case Marked:
		return w.awaitIdleServers(ctx, d)
	case Drained:
		return w.advanceTo(ctx, d, Stopping)
	case Stopping:
		return w.stopServers(ctx, d)
	case Stopped:
		return w.awaitMembers(ctx, d)
	}
	return d, fmt.Errorf("the drain of %s is at step %q, which this program does not know", d.Machine, d.Step)
}

func (w *Workflow) advanceTo(ctx context.Context, d Drain, to Step) (Drain, error) {
	next, _, err := w.updateClaimed(ctx, d.Machine, func(d *Drain) { d.Step = to })
	return next, err
}

// waitAndRenew waits for the poll interval, and renews the claim.
func (w *Workflow) waitAndRenew(ctx context.Context, d Drain, change func(d *Drain)) (Drain, error) {
	if err := w.Sleep(ctx, w.PollInterval); err != nil {
		return d, err
	}
	next, _, err := w.updateClaimed(ctx, d.Machine, change)
	return next, err
}

// markServers marks the machine's servers, including those registered since the drain began. The
// registry checks the claim atomically with the marks, by the version of the record.
func (w *Workflow) markServers(ctx context.Context, d Drain) (Drain, error) {
	hosts, err := w.serversToMark(ctx, d)
	if err != nil {
		return d, err
	}
	for {
		claimed, rec, err := w.updateClaimed(ctx, d.Machine, func(d *Drain) { d.Hosts = hosts })
		if err != nil {
			return d, err
		}
		seq, marked, err := w.tryMark(ctx, claimed, rec.version)
		if err != nil {
			return claimed, err
		}
		if !marked {
			continue
		}
		next, _, err := w.updateClaimed(ctx, d.Machine, func(d *Drain) {
			d.Step, d.Seq, d.MarkedMS = Marked, seq, w.Now().UnixMilli()
		})
		return next, err
	}
}

// serversToMark returns the machine's registered servers, and those of the drain that still have a
// mark but are no longer registered.
func (w *Workflow) serversToMark(ctx context.Context, d Drain) ([]string, error) {
	list, err := w.Registry.Registrations(ctx)
	if err != nil {
		return nil, err
	}
	registered := make(map[string]bool)
	hosts := slices.Clone(d.Hosts)
	for _, server := range list.Registrations {
		registered[server.Host] = true
		if server.Machine == d.Machine && !slices.Contains(hosts, server.Host) {
			hosts = append(hosts, server.Host)
		}
	}
	hosts = slices.DeleteFunc(hosts, func(host string) bool { return !registered[host] && list.Marks[host] == "" })
	slices.Sort(hosts)
	return hosts, nil
}

// tryMark marks a drain's servers if the record still has this version, and returns the version
// of the endpoint list that has the marks. If marked is false, the caller has to try again.
func (w *Workflow) tryMark(ctx context.Context, d Drain, recordVersion uint64) (seq uint64, marked bool, err error) {
	if len(d.Hosts) > 0 {
		resp, err := w.Registry.Mark(ctx, registry.MarkRequest{
			Hosts: d.Hosts, MarkedBy: markOwner(d.Machine), Draining: true, IfRecord: RecordKey, IfRecordVersion: recordVersion,
		})
		conflict := errors.Is(err, registry.ErrConflict)
		switch {
		case err != nil && !conflict:
			return 0, false, err
		case conflict && !w.allMarked(ctx, d):
			// Either another drain has changed the record, or another owner has marked a server.
			return 0, false, w.checkForeignMarks(ctx, d)
		}
		seq = resp.Seq
	}
	if seq == 0 { // no mark was changed, so the current list has all marks
		list, err := w.Registry.Registrations(ctx)
		if err != nil {
			return 0, false, err
		}
		seq = list.Seq
	}
	return seq, true, nil
}

// allMarked reports whether all servers of a drain are marked by it. It reports false if the
// registry cannot be read.
func (w *Workflow) allMarked(ctx context.Context, d Drain) bool {
	list, err := w.Registry.Registrations(ctx)
	if err != nil {
		return false
	}
	return !slices.ContainsFunc(d.Hosts, func(host string) bool { return list.Marks[host] != markOwner(d.Machine) })
}

// checkForeignMarks returns an error if another owner has marked one of a drain's servers.
func (w *Workflow) checkForeignMarks(ctx context.Context, d Drain) error {
	list, err := w.Registry.Registrations(ctx)
	if err != nil {
		return err
	}
	for _, host := range d.Hosts {
		if marker := list.Marks[host]; marker != "" && marker != markOwner(d.Machine) {
			return fmt.Errorf("server %s is marked by %s: let that end, then drain %s again or undrain it", host, marker, d.Machine)
		}
	}
	return nil
}

// awaitIdleServers ends the step when the sidecars are notified of the marks and the servers
// are idle.
func (w *Workflow) awaitIdleServers(ctx context.Context, d Drain) (Drain, error) {
	idle, err := w.serversIdle(ctx, d)
	if err != nil {
		return d, err
	}
	if !idle {
		return w.waitAndRenew(ctx, d, nil)
	}
	return w.advanceTo(ctx, d, Drained)
}

func (w *Workflow) serversIdle(ctx context.Context, d Drain) (bool, error) {
	since := w.markedSince(d)
	notified, err := w.Fleet.Notified(ctx, d.Seq, since)
	if err != nil || !notified {
		return false, err
	}
	list, err := w.Registry.Registrations(ctx)
	if err != nil {
		return false, err
	}
	for _, server := range list.Registrations {
		if server.Machine != d.Machine {
			continue
		}
		if list.Marks[server.Host] != markOwner(d.Machine) { // registered after the servers were marked, or its mark was changed
			_, err := w.markServers(ctx, d)
			return false, err
		}
		idle, err := w.Fleet.Idle(ctx, server, since)
		if err != nil || !idle {
			return false, err
		}
	}
	return true, nil
}

// seenMark is the time of a drain's marks in the record, and when this process first saw them.
type seenMark struct {
	markedMS  int64
	firstSeen time.Time
}

// markedSince returns when this process first saw a drain's marks, by its monotonic clock. The
// record has a wall-clock time: if the wall clock were set ahead by an hour, sidecars would count
// as notified, and servers as idle, too early.
func (w *Workflow) markedSince(d Drain) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if seen, ok := w.marksSeen[d.Machine]; ok && seen.markedMS == d.MarkedMS {
		return seen.firstSeen
	}
	if w.marksSeen == nil {
		w.marksSeen = make(map[string]seenMark)
	}
	now := w.Now()
	w.marksSeen[d.Machine] = seenMark{markedMS: d.MarkedMS, firstSeen: now}
	return now
}

// stopServers stops the machine's servers one by one.
func (w *Workflow) stopServers(ctx context.Context, d Drain) (Drain, error) {
	for _, host := range d.Hosts {
		if err := w.Fleet.Stop(ctx, d.Machine, host); err != nil {
			return d, fmt.Errorf("%s: stopping %s: %w; drain it again to resume", d.Machine, host, err)
		}
		if _, _, err := w.updateClaimed(ctx, d.Machine, nil); err != nil {
			return d, err
		}
	}
	return w.advanceTo(ctx, d, Stopped)
}

// awaitMembers ends the step when the machine's other processes that are members of the fleet
// have ended.
func (w *Workflow) awaitMembers(ctx context.Context, d Drain) (Drain, error) {
	names, wait, err := w.Fleet.RemainingMembers(ctx, d.Machine)
	if !wait || err == nil && len(names) == 0 {
		return w.advanceTo(ctx, d, Done)
	}
	note := "waits for " + strings.Join(names, ", ") + " to end"
	if err != nil {
		note = "waits for a view of its members: " + err.Error()
	}
	if note != d.Note {
		w.OnEvent(Event{Kind: EventWaiting, Machine: d.Machine, Step: d.Step, Note: note})
	}
	return w.waitAndRenew(ctx, d, func(d *Drain) { d.Note = note })
}
