package localfleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"barleywick/internal/registry"
	"barleywick/internal/simulation/emulator"
	"barleywick/internal/testing/wait"
)

// injectFaults injects the scenario's faults, each in a goroutine, until ctx
// ends. It returns when they have ended.
func (l *localFleet) injectFaults(ctx context.Context) {
	var all sync.WaitGroup
	for i := range l.scenario.Faults {
		t := l.scenario.Faults[i]
		all.Go(func() {
			if !wait.Sleep(ctx, time.Duration(t.Start)) {
				return
			}
			undo, err := l.beginFault(ctx, t)
			if err != nil {
				l.fail(fmt.Errorf("fault %s: %w", t.Name, err))
				return
			}
			wait.Sleep(ctx, time.Duration(t.Duration))
			if undo != nil && ctx.Err() == nil {
				if err := undo(); err != nil {
					l.fail(fmt.Errorf("end of fault %s: %w", t.Name, err))
				}
			}
		})
	}
	all.Wait()
}

// liveServers returns the servers that run and do not drain.
func (l *localFleet) liveServers() (live []*bookingServer) {
	for _, b := range l.allServers() {
		b.mu.Lock()
		if b.model.Alive && !b.model.Draining {
			live = append(live, b)
		}
		b.mu.Unlock()
	}
	return live
}

// pickServers picks a fraction of the live servers.
func (l *localFleet) pickServers(part float64) (some []*bookingServer) {
	live := l.liveServers()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, i := range emulator.PickShare(l.random, len(live), part) {
		some = append(some, live[i])
	}
	return some
}

// serverChange returns what a fault changes at a server while it is on; nil: it is not a fault of that kind.
func serverChange(t emulator.Fault) func(sv *emulator.Server, on bool) {
	switch t.Name {
	case "slow":
		return func(sv *emulator.Server, on bool) { sv.Slowdown = choose(on, t.Size, 1) }
	case "fast_errors":
		return func(sv *emulator.Server, on bool) { sv.FailureShare = choose(on, t.Size, 0) }
	case "neighbour":
		return func(sv *emulator.Server, on bool) { sv.NeighbourShare = choose(on, t.Size, 0) }
	case "vanish":
		return func(sv *emulator.Server, on bool) { sv.Unreachable = on }
	}
	return nil
}

// changeServers changes servers until it is undone.
func (l *localFleet) changeServers(some []*bookingServer, change func(sv *emulator.Server, on bool)) (undo func() error) {
	set := func(on bool) {
		for _, b := range some {
			b.updateModel(func(sv *emulator.Server) { change(sv, on) })
		}
	}
	set(true)
	return func() error {
		set(false)
		return nil
	}
}

// beginFault begins a fault and returns the function that ends it.
func (l *localFleet) beginFault(ctx context.Context, t emulator.Fault) (undo func() error, err error) {
	if change := serverChange(t); change != nil {
		return l.changeServers(l.pickServers(t.Part), change), nil
	}
	switch t.Name {
	case "kill":
		return l.killServers(l.pickServers(t.Part)), nil
	case "zone_lost":
		var there []*bookingServer
		for _, b := range l.liveServers() {
			if b.model.Zone == t.Zone {
				there = append(there, b)
			}
		}
		return l.killServers(there), nil
	case "partition":
		return l.links.updateFaults(func(k *linkSet, by int) { k.partitioned[t.Zone] += by }), nil
	case "list_down":
		return l.links.updateFaults(func(k *linkSet, by int) { k.listDown += by }), nil
	case "stale_list":
		return l.links.updateFaults(func(k *linkSet, by int) { k.listDelay += time.Duration(by) * time.Duration(t.Extra) }), nil
	case "replace":
		return nil, l.replace(ctx, t)
	case "spoilt":
		return l.setShare(&l.malformedShare, t.Part), nil
	case "reset":
		return l.setShare(&l.resetShare, t.Part), nil
	case "bad_clients":
		return nil, l.sendMalformed(ctx, t)
	case "herd":
		return nil, l.restartSidecars(ctx, t, 0, (*sidecarProcess).killNow)
	case "roll":
		return nil, l.restartSidecars(ctx, t, time.Duration(t.Duration), (*sidecarProcess).stop)
	}
	return nil, nil // a fault of the arrivals alone
}

// setShare sets the fraction of requests that a fault affects, until it is undone.
func (l *localFleet) setShare(what *float64, part float64) (undo func() error) {
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

// killServers kills servers; undo starts them again.
func (l *localFleet) killServers(some []*bookingServer) (undo func() error) {
	for _, b := range some {
		b.kill()
		b.deregisterAfter(time.Duration(l.scenario.List.RemovalDelay))
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
func (l *localFleet) replace(ctx context.Context, t emulator.Fault) error {
	some := l.pickServers(t.Part)
	began := time.Now()
	for n, b := range some {
		if !wait.Sleep(ctx, t.StepTime(n, len(some))-time.Since(began)) {
			return nil
		}
		if _, err := l.registry.Mark(ctx, registry.MarkRequest{Hosts: []string{b.name}, MarkedBy: "localfleet", Draining: true}); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		l.notifyDraining(b.model)
		l.tasks.Go(func() {
			if !wait.Sleep(ctx, emulator.SuccessorDelay) {
				return
			}
			l.mu.Lock()
			next := l.fleet.AddServer(b.model.Zone, b.model.Kind, b.model.Cell, b.model.Speed, l.now())
			l.mu.Unlock()
			if err := l.addServer(next, true); err != nil {
				l.fail(err)
			}
		})
		l.tasks.Go(func() {
			if wait.Sleep(ctx, time.Duration(t.Extra)) {
				b.deregister()
				b.kill()
			}
		})
	}
	return nil
}

// notifyDraining tells the checker that all sidecars are notified that a server drains. They receive it
// within moments, so that counting from here is slightly stricter.
func (l *localFleet) notifyDraining(server *emulator.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.sidecars {
		l.checker.EndpointNotified(l.now(), i, server.Index, false, server.StartedAt)
	}
}

// restartSidecars ends a fraction of the sidecars, one after the other over a time, each by end;
// each starts again after the fault's extra.
func (l *localFleet) restartSidecars(ctx context.Context, t emulator.Fault, over time.Duration, end func(*sidecarProcess) error) error {
	l.mu.Lock()
	some := emulator.PickShare(l.random, len(l.sidecars), t.Part)
	l.mu.Unlock()
	var all sync.WaitGroup
	errs := make([]error, len(some))
	for n, i := range some {
		s := l.sidecars[i]
		all.Go(func() {
			if !wait.Sleep(ctx, time.Duration(float64(over)*float64(n)/float64(len(some)))) {
				return
			}
			errs[n] = l.restartSidecar(ctx, s, time.Duration(t.Extra), end)
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

// restartSidecar ends one sidecar and starts it again.
func (l *localFleet) restartSidecar(ctx context.Context, s *sidecarProcess, down time.Duration, end func(*sidecarProcess) error) error {
	l.mu.Lock()
	s.up = false
	l.record.Restarts++
	l.mu.Unlock()
	if err := end(s); err != nil {
		return err
	}
	l.mu.Lock()
	l.checker.SidecarKilled(s.index)
	l.mu.Unlock()
	if !wait.Sleep(ctx, down) {
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
