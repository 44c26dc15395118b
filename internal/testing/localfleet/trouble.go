package localfleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"barleywick/internal/registry"
	"barleywick/internal/simulation/emulator"
)

// trouble plays the scenario's troubles, each in a goroutine of its own, until ctx
// ends; then all are undone. It returns when they have ended.
func (l *lab) trouble(ctx context.Context) {
	var all sync.WaitGroup
	for i := range l.sc.Faults {
		t := l.sc.Faults[i]
		all.Go(func() {
			if !sleep(ctx, time.Duration(t.Start)) {
				return
			}
			undo, err := l.begin(ctx, t)
			if err != nil {
				l.fail(fmt.Errorf("trouble %s: %w", t.Name, err))
				return
			}
			sleep(ctx, time.Duration(t.Duration))
			if undo != nil && ctx.Err() == nil {
				if err := undo(); err != nil {
					l.fail(fmt.Errorf("end of trouble %s: %w", t.Name, err))
				}
			}
		})
	}
	all.Wait()
}

// sleep waits, and says whether ctx has let it.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// live are the servers that run and don't drain.
func (l *lab) live() (live []*booking) {
	for _, b := range l.all() {
		b.mu.Lock()
		if b.sv.Alive && !b.sv.Draining {
			live = append(live, b)
		}
		b.mu.Unlock()
	}
	return live
}

// some picks a part of the live servers.
func (l *lab) some(part float64) (some []*booking) {
	live := l.live()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, i := range emulator.PickShare(l.luck, len(live), part) {
		some = append(some, live[i])
	}
	return some
}

// begin begins a trouble, and returns what ends it.
func (l *lab) begin(ctx context.Context, t emulator.Fault) (undo func() error, err error) {
	set := func(change func(sv *emulator.Server, on bool)) (func() error, error) {
		some := l.some(t.Part)
		each := func(on bool) error {
			for _, b := range some {
				b.change(func(sv *emulator.Server) { change(sv, on) })
			}
			return nil
		}
		return func() error { return each(false) }, each(true)
	}
	switch t.Name {
	case "slow":
		return set(func(sv *emulator.Server, on bool) { sv.Slowdown = choose(on, t.Size, 1) })
	case "fast_errors":
		return set(func(sv *emulator.Server, on bool) { sv.FailureShare = choose(on, t.Size, 0) })
	case "neighbour":
		return set(func(sv *emulator.Server, on bool) { sv.NeighbourShare = choose(on, t.Size, 0) })
	case "vanish":
		return set(func(sv *emulator.Server, on bool) { sv.Unreachable = on })
	case "kill":
		return l.killed(l.some(t.Part)), nil
	case "zone_lost":
		var there []*booking
		for _, b := range l.live() {
			if b.sv.Zone == t.Zone {
				there = append(there, b)
			}
		}
		return l.killed(there), nil
	case "partition":
		return l.links.change(func(k *links, by int) { k.cut[t.Zone] += by }), nil
	case "list_down":
		return l.links.change(func(k *links, by int) { k.down += by }), nil
	case "stale_list":
		return l.links.change(func(k *links, by int) { k.slow += time.Duration(by) * time.Duration(t.Extra) }), nil
	case "replace":
		return nil, l.replace(ctx, t)
	case "spoilt":
		return l.part(&l.spoilt, t.Part), nil
	case "reset":
		return l.part(&l.reset, t.Part), nil
	case "bad_clients":
		return nil, l.annoy(ctx, t)
	case "herd":
		return nil, l.restart(ctx, t, 0, (*member).killed)
	case "roll":
		return nil, l.restart(ctx, t, time.Duration(t.Duration), (*member).stop)
	}
	return nil, nil // of the arrivals alone
}

// part sets what a trouble does to requests, until it is undone.
func (l *lab) part(what *float64, part float64) (undo func() error) {
	set := func(v float64) {
		l.mu.Lock()
		defer l.mu.Unlock()
		*what = v
	}
	set(part)
	return func() error {
		set(0)
		return nil
	}
}

func choose(on bool, yes, no float64) float64 {
	if on {
		return yes
	}
	return no
}

// killed kills servers; undo starts them again, cold.
func (l *lab) killed(some []*booking) (undo func() error) {
	for _, b := range some {
		b.kill()
		b.goneAfter(time.Duration(l.sc.List.RemovalDelay))
	}
	return func() error {
		for _, b := range some {
			b.deregister()
			if err := b.start(true); err != nil {
				return err
			}
		}
		return nil
	}
}

// replace drains servers step by step; each has a successor of the same kind.
func (l *lab) replace(ctx context.Context, t emulator.Fault) error {
	some := l.some(t.Part)
	began := time.Now()
	for n, b := range some {
		if !sleep(ctx, t.StepTime(n, len(some))-time.Since(began)) {
			return nil
		}
		if _, err := l.registry.Mark(ctx, registry.MarkRequest{Hosts: []string{b.name}, MarkedBy: "lab", Draining: true}); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		l.told(b.sv)
		l.tasks.Go(func() {
			if !sleep(ctx, emulator.SuccessorDelay) {
				return
			}
			l.mu.Lock()
			next := l.fleet.AddServer(b.sv.Zone, b.sv.Kind, b.sv.Cell, b.sv.Speed, l.now())
			l.mu.Unlock()
			if err := l.addServer(next, true); err != nil {
				l.fail(err)
			}
		})
		l.tasks.Go(func() {
			if sleep(ctx, time.Duration(t.Extra)) {
				b.deregister()
				b.kill()
			}
		})
	}
	return nil
}

// told books that all sidecars are being told that a server drains. They hear of it
// within moments: to count from here asks a little more of them.
func (l *lab) told(server *emulator.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.sidecars {
		l.check.EndpointNotified(l.now(), i, server.Index, false, server.StartedAt)
	}
}

// restart ends a part of the sidecars, one after the other over a time, each by end;
// each is back after the trouble's extra.
func (l *lab) restart(ctx context.Context, t emulator.Fault, over time.Duration, end func(*member) error) error {
	l.mu.Lock()
	some := emulator.PickShare(l.luck, len(l.sidecars), t.Part)
	l.mu.Unlock()
	var all sync.WaitGroup
	errs := make([]error, len(some))
	for n, i := range some {
		s := l.sidecars[i]
		all.Go(func() {
			if !sleep(ctx, time.Duration(float64(over)*float64(n)/float64(len(some)))) {
				return
			}
			errs[n] = l.bounce(ctx, s, time.Duration(t.Extra), end)
		})
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// bounce ends one sidecar and starts it again.
func (l *lab) bounce(ctx context.Context, s *member, down time.Duration, end func(*member) error) error {
	l.mu.Lock()
	s.up = false
	l.rec.Restarts++
	l.mu.Unlock()
	if err := end(s); err != nil {
		return err
	}
	l.mu.Lock()
	l.check.SidecarKilled(s.index)
	l.mu.Unlock()
	if !sleep(ctx, down) {
		return nil
	}
	if err := s.start(ctx); err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	l.mu.Lock()
	s.up = true
	l.mu.Unlock()
	return nil
}
