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

// liveServers returns the servers that are running and not draining.
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
func (l *localFleet) pickServers(part float64) (picked []*bookingServer) {
	live := l.liveServers()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, i := range emulator.PickShare(l.random, len(live), part) {
		picked = append(picked, live[i])
	}
	return picked
}

// serverChange returns the function that sets or clears a fault in the model of a server, or nil if
// the fault does not change the model of a server.
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

// changeServers applies a change to servers and returns the function that reverts it.
func (l *localFleet) changeServers(servers []*bookingServer, change func(sv *emulator.Server, on bool)) (undo func() error) {
	set := func(on bool) {
		for _, b := range servers {
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
		var inZone []*bookingServer
		for _, b := range l.liveServers() {
			if b.model.Zone == t.Zone {
				inZone = append(inZone, b)
			}
		}
		return l.killServers(inZone), nil
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
	return nil, nil // the fault changes only the arrivals
}

// setShare sets the fraction of requests that a fault affects and returns the function that resets it.
func (l *localFleet) setShare(share *float64, part float64) (undo func() error) {
	set := func(v float64) {
		l.mu.Lock()
		defer l.mu.Unlock()
		*share = v
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

// killServers kills servers and returns the function that starts them again.
func (l *localFleet) killServers(servers []*bookingServer) (undo func() error) {
	for _, b := range servers {
		b.kill()
		b.deregisterAfter(time.Duration(l.scenario.List.RemovalDelay))
	}
	return func() error {
		for _, b := range servers {
			b.deregister()
			if err := b.start(true); err != nil {
				return err
			}
		}
		return nil
	}
}

// replace drains servers in the steps of the fault and starts a successor of the same kind for each.
func (l *localFleet) replace(ctx context.Context, t emulator.Fault) error {
	picked := l.pickServers(t.Part)
	began := time.Now()
	for n, b := range picked {
		if !wait.Sleep(ctx, t.StepTime(n, len(picked))-time.Since(began)) {
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
			successor := l.fleet.AddServer(b.model.Zone, b.model.Kind, b.model.Cell, b.model.Speed, l.now())
			l.mu.Unlock()
			if err := l.addServer(successor, true); err != nil {
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

// notifyDraining records in the checker that all sidecars are notified of a server's drain mark. They
// receive it shortly afterwards, so the check is slightly stricter than the protocol.
func (l *localFleet) notifyDraining(server *emulator.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.sidecars {
		l.checker.EndpointNotified(l.now(), i, server.Index, false, server.StartedAt)
	}
}

// restartSidecars stops a fraction of the sidecars with end, spread evenly over a duration, and starts
// each again after the fault's Extra.
func (l *localFleet) restartSidecars(ctx context.Context, t emulator.Fault, spread time.Duration, end func(*sidecarProcess) error) error {
	l.mu.Lock()
	picked := emulator.PickShare(l.random, len(l.sidecars), t.Part)
	l.mu.Unlock()
	var all sync.WaitGroup
	errs := make([]error, len(picked))
	for n, i := range picked {
		s := l.sidecars[i]
		all.Go(func() {
			if !wait.Sleep(ctx, time.Duration(float64(spread)*float64(n)/float64(len(picked)))) {
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

// restartSidecar stops one sidecar with end and starts it again after the given downtime.
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
