// Package drain takes a machine out of service and loses nothing: it claims the
// machine, checks that what remains bears the load, marks its servers as draining,
// waits until the sidecars know it and the servers' work has ended, stops the
// machine's processes, and reports.
//
// The workflow is a state machine whose state stands in the registry, in one record
// for all machines, and moves only under compare-and-set. Whoever runs it holds a
// claim that has to be renewed; if that one is lost at any step, another resumes
// where it was or undoes it. As all drains are in one record, two at once cannot
// both count on the same servers to remain.
package drain

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"barleywick/internal/registry"
)

// Step is how far a drain has come.
type Step string

// The steps, in their order.
const (
	Claimed  Step = "claimed"  // the floor holds without the machine, and it is ours; nothing has changed
	Marked   Step = "marked"   // its servers are marked draining
	Drained  Step = "drained"  // the sidecars know it, and the servers' work has ended
	Stopping Step = "stopping" // its processes are being stopped: from here on there is no way back but undrain
	Stopped  Step = "stopped"  // its servers are; its other processes that are members of the fleet are waited for
	Done     Step = "done"
	Undoing  Step = "undoing" // the marks are being taken back
)

// Drain is the state of one machine's drain.
type Drain struct {
	Machine string   `json:"machine"`
	Step    Step     `json:"step"`
	Hosts   []string `json:"hosts"`
	// Owner holds the claim until Expires, in Unix milliseconds.
	Owner     string `json:"owner"`
	ExpiresMS int64  `json:"expires_ms"`
	BeganMS   int64  `json:"began_ms"`
	// Seq is the list's version that has the marks, and MarkedAt when it came.
	Seq      uint64 `json:"seq,omitempty"`
	MarkedMS int64  `json:"marked_ms,omitempty"`
	// DeadlineMS is when a drain that keepers run is undone if it has not come to stopping;
	// Note is what hinders it.
	DeadlineMS int64  `json:"until_ms,omitempty"`
	Note       string `json:"note,omitempty"`
}

// OwnerControllers owns the drains that were handed over: whichever keeper holds the task of
// running them, its lease and not the claim's time says that it may.
const OwnerControllers = "keepers"

// RecordKey is where the registry keeps all drains.
const RecordKey = "drains"

// markOwner is who marks a machine's servers: the drain and not its operator, so that
// whoever resumes or undoes it may.
func markOwner(machine string) string { return "drain:" + machine }

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

// Floor is how many ready servers have to remain in each zone; Others counts where
// a zone is not named.
type Floor struct {
	Zones   map[string]int `json:"zones"`
	Default int            `json:"others"`
}

func (f Floor) forZone(zone string) int {
	if n, ok := f.Zones[zone]; ok {
		return n
	}
	return f.Default
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

// Why a drain is refused. The error's text says what and what to do; nothing was changed.
var (
	ErrRefused = errors.New("refused")
	// ErrClaimLost says that the claim has passed to another.
	ErrClaimLost = errors.New("the claim is lost")
	// ErrTimeout says that the time given was up.
	ErrTimeout = errors.New("out of time")
)

func refusal(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrRefused, fmt.Sprintf(format, args...))
}

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

// Plan is what a drain would do.
type Plan struct {
	Machine   string
	Hosts     []string
	Zones     []ZoneReadiness
	ResumesAt Step // the step that a drain under way would be resumed at; empty: a new one
}

// ZoneReadiness is what a zone has before and after.
type ZoneReadiness struct {
	Zone                    string
	Ready, Remaining, Floor int
}

// checkFloor checks a drain against the list and the other drains.
func (w *Workflow) checkFloor(ctx context.Context, machine string, d record) (Plan, error) {
	list, err := w.Registry.Registrations(ctx)
	if err != nil {
		return Plan{}, err
	}
	p := Plan{Machine: machine}
	zones, ready := make(map[string]int), make(map[string]int)
	known := make(map[string]bool)
	for _, e := range list.Registrations {
		known[e.Machine] = true
		if e.Machine == machine {
			p.Hosts = append(p.Hosts, e.Host)
			zones[e.Site] += 0
			if m := list.Marks[e.Host]; m != "" && m != markOwner(machine) {
				return p, refusal("server %s is marked by %s: let that end first", e.Host, m)
			}
		}
		other := d.drains[e.Machine]
		if e.Health == registry.HealthUp && (other.Step == "" || e.Machine == machine) {
			ready[e.Site]++
			if e.Machine == machine {
				zones[e.Site]++
			}
		}
	}
	if len(p.Hosts) == 0 {
		var names []string
		for m := range known {
			if m != "" {
				names = append(names, m)
			}
		}
		slices.Sort(names)
		return p, refusal("machine %q has no servers in the list; it has those of %s", machine, strings.Join(names, ", "))
	}
	slices.Sort(p.Hosts)
	for _, z := range slices.Sorted(maps.Keys(zones)) {
		r := ZoneReadiness{Zone: z, Ready: ready[z], Remaining: ready[z] - zones[z], Floor: w.Floor.forZone(z)}
		p.Zones = append(p.Zones, r)
		if zones[z] > 0 && r.Remaining < r.Floor {
			return p, refusal("without %s zone %s would have %d ready servers, its floor is %d; start others first, or end another drain", machine, z, r.Remaining, r.Floor)
		}
	}
	return p, nil
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
