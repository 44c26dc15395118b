package soaktest

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"
)

// faultKind is a kind of fault.
type faultKind int

const (
	faultPlannedEnd faultKind = iota
	faultKill
	faultPause
	faultReload
	faultServers
	faultDrain
	faultDiscovery
	faultKinds
)

// The times of faults.
const (
	meanGap        = 180 * time.Millisecond // between the begins of two faults, in a fleet of 16
	gapFleet       = 16
	longestTrouble = 3500 * time.Millisecond
	pauseFor       = holdUp
	startAgainIn   = 200 * time.Millisecond
	mostDrained    = 3 // part of the servers, as one in so many, that drain at once
)

// playFaults begins faults, several under way at once, until their time is over.
func (f *fleet) playFaults(ctx context.Context) {
	rng := f.random("faults", 0)
	gap := max(meanGap*gapFleet/time.Duration(max(f.Sidecars, gapFleet)), 10*time.Millisecond)
	drained := make(map[string]bool)
	for time.Since(f.began) < f.For && ctx.Err() == nil {
		time.Sleep(time.Duration(rng.Int64N(int64(2 * gap))))
		f.begin(ctx, faultKind(rng.IntN(int(faultKinds))), rng, drained)
	}
	f.faults.Wait()
	for host := range drained {
		f.discovery.set(host, health)
		f.ledger.drain(host, false)
	}
}

// begin begins one fault.
func (f *fleet) begin(ctx context.Context, kind faultKind, rng *rand.Rand, drained map[string]bool) {
	s := f.sidecars[rng.IntN(len(f.sidecars))]
	server := f.servers[rng.IntN(len(f.servers))]
	lasts := time.Duration(rng.Int64N(int64(longestTrouble)))
	switch kind {
	case faultPlannedEnd:
		f.restart(ctx, s, true)
	case faultKill:
		if rng.IntN(3) == 0 { // the rarer one: it excuses what it cuts off
			f.restart(ctx, s, false)
		}
	case faultPause:
		f.pause(s)
	case faultReload:
		if !s.isDown() {
			f.tell("SIGHUP %s", s.name)
			f.ledger.saw("faults: reload")
			_ = s.process.Signal(syscall.SIGHUP) // it may just have ended
		}
	case faultServers:
		m := mode(1 + rng.IntN(int(modes)-1))
		f.trouble(ctx, m, rng.IntN(len(f.servers)), 1+rng.IntN(max(1, len(f.servers)*2/3)), lasts)
	case faultDrain:
		f.drain(server, drained)
	case faultDiscovery:
		f.faults.Go(func() {
			f.tell("discovery goes down for %v", lasts)
			f.ledger.saw("faults: discovery down")
			f.discovery.setDown(true)
			sleep(ctx, lasts)
			f.discovery.setDown(false)
			f.ledger.discoveryReturned()
		})
	}
}

// restart ends a sidecar, in order or outright, and starts it again.
func (f *fleet) restart(ctx context.Context, s *sidecar, planned bool) {
	if s.isDown() {
		return
	}
	s.down(!planned)
	f.faults.Go(func() {
		if planned {
			f.plannedEnd(ctx, s)
		} else {
			f.tell("SIGKILL %s", s.name)
			f.ledger.saw("faults: kill")
			s.process.Kill()
		}
		sleep(ctx, startAgainIn)
		if err := s.process.Start(); err != nil {
			f.ledger.broken(InvariantProcess, "%v", err)
			return
		}
		ready, cancel := context.WithTimeout(ctx, readyWithin)
		defer cancel()
		if err := s.awaitReady(ready); err != nil {
			f.ledger.broken(InvariantProcess, "%v", err)
		}
		s.up()
	})
}

// plannedEnd sends SIGTERM, and SIGKILL when the protocol's time is up.
func (f *fleet) plannedEnd(ctx context.Context, s *sidecar) {
	f.tell("SIGTERM %s", s.name)
	f.ledger.saw("faults: planned end")
	began := time.Now()
	if err := s.process.Signal(syscall.SIGTERM); err != nil {
		f.ledger.broken(InvariantProcess, "%s has ended by itself: %v", s.name, err)
	}
	for s.process.Running() && time.Since(began) < killAfter {
		if !sleep(ctx, 5*time.Millisecond) {
			break
		}
	}
	if s.process.Running() {
		f.tell("SIGKILL %s, which has not ended", s.name)
		f.ledger.saw("planned ends cut off")
		s.process.Kill()
	}
}

// pause holds a process up for a moment.
func (f *fleet) pause(s *sidecar) {
	f.faults.Go(func() {
		if s.process.Signal(syscall.SIGSTOP) != nil {
			return // it is being restarted
		}
		f.ledger.saw("faults: pause")
		time.Sleep(pauseFor)
		_ = s.process.Signal(syscall.SIGCONT) // it may have been killed meanwhile
	})
}

// trouble puts some servers into a mode for a while.
func (f *fleet) trouble(ctx context.Context, m mode, from, count int, lasts time.Duration) {
	f.tell("%d servers from %s on: %s for %v", count, f.servers[from].name, m, lasts)
	f.ledger.saw("faults: server " + m.String())
	f.faults.Go(func() {
		for i := range count {
			f.servers[(from+i)%len(f.servers)].set(m)
		}
		sleep(ctx, lasts)
		for i := range count {
			f.servers[(from+i)%len(f.servers)].set(modeWell)
		}
	})
}

// drain lists a server as draining, or takes that back.
func (f *fleet) drain(s *server, drained map[string]bool) {
	switch {
	case drained[s.name]:
		delete(drained, s.name)
		f.discovery.set(s.name, health)
		f.ledger.drain(s.name, false)
	case len(drained) < len(f.servers)/mostDrained:
		drained[s.name] = true
		f.ledger.drain(s.name, true)
		f.discovery.set(s.name, draining)
	default:
		return
	}
	f.tell("%s drains: %v", s.name, drained[s.name])
	f.ledger.saw("faults: drain")
}

// sleep waits, and says whether ctx lasts still.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
