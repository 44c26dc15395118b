package soaktest

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"barleywick/internal/testing/wait"
)

// faultKind is a kind of fault.
type faultKind int

const (
	faultGracefulRestart faultKind = iota
	faultKill
	faultPause
	faultReload
	faultServerMode
	faultDrain
	faultDiscovery
	numFaultKinds
)

// Timing of faults.
const (
	meanFaultInterval  = 180 * time.Millisecond // between the starts of two faults, in a fleet of referenceFleetSize
	referenceFleetSize = 16
	maxFaultDuration   = 3500 * time.Millisecond
	pauseDuration      = pauseSlack
	restartDelay       = 200 * time.Millisecond
	drainedFraction    = 3 // at most one in so many servers drains at once
)

// injectFaults begins faults, several of them active at once, until their time is over.
func (f *fleet) injectFaults(ctx context.Context) {
	rng := f.random("faults", 0)
	gap := max(meanFaultInterval*referenceFleetSize/time.Duration(max(f.Sidecars, referenceFleetSize)), 10*time.Millisecond)
	drained := make(map[string]bool)
	for time.Since(f.startedAt) < f.Duration && ctx.Err() == nil {
		time.Sleep(time.Duration(rng.Int64N(int64(2 * gap))))
		f.beginFault(ctx, faultKind(rng.IntN(int(numFaultKinds))), rng, drained)
	}
	f.activeFaults.Wait()
	for host := range drained {
		f.discovery.set(host, healthUp)
		f.ledger.drain(host, false)
	}
}

// beginFault begins one fault.
func (f *fleet) beginFault(ctx context.Context, kind faultKind, rng *rand.Rand, drained map[string]bool) {
	s := f.sidecars[rng.IntN(len(f.sidecars))]
	server := f.servers[rng.IntN(len(f.servers))]
	lasts := time.Duration(rng.Int64N(int64(maxFaultDuration)))
	switch kind {
	case faultGracefulRestart:
		f.restart(ctx, s, true)
	case faultKill:
		if rng.IntN(3) == 0 { // rarer, as it excuses the requests that it cuts off
			f.restart(ctx, s, false)
		}
	case faultPause:
		f.pause(s)
	case faultReload:
		if !s.isDown() {
			f.logEvent("SIGHUP %s", s.name)
			f.ledger.increment("faults: reload")
			_ = s.process.Signal(syscall.SIGHUP) // it may just have ended
		}
	case faultServerMode:
		m := mode(1 + rng.IntN(int(numModes)-1))
		f.setServerMode(ctx, m, rng.IntN(len(f.servers)), 1+rng.IntN(max(1, len(f.servers)*2/3)), lasts)
	case faultDrain:
		f.drain(server, drained)
	case faultDiscovery:
		f.activeFaults.Go(func() {
			f.logEvent("discovery goes down for %v", lasts)
			f.ledger.increment("faults: discovery down")
			f.discovery.setDown(true)
			wait.Sleep(ctx, lasts)
			f.discovery.setDown(false)
			f.ledger.discoveryReturned()
		})
	}
}

// restart ends a sidecar, gracefully or by SIGKILL, and starts it again.
func (f *fleet) restart(ctx context.Context, s *sidecar, planned bool) {
	if s.isDown() {
		return
	}
	s.markDown(!planned)
	f.activeFaults.Go(func() {
		if planned {
			f.gracefulRestart(ctx, s)
		} else {
			f.logEvent("SIGKILL %s", s.name)
			f.ledger.increment("faults: kill")
			s.process.Kill()
		}
		wait.Sleep(ctx, restartDelay)
		if err := s.process.Start(); err != nil {
			f.ledger.addViolation(InvariantProcess, "%v", err)
			return
		}
		ready, cancel := context.WithTimeout(ctx, readyTimeout)
		defer cancel()
		if err := s.awaitReady(ready); err != nil {
			f.ledger.addViolation(InvariantProcess, "%v", err)
		}
		s.markUp()
	})
}

// gracefulRestart sends SIGTERM, and SIGKILL when the protocol's time is over.
func (f *fleet) gracefulRestart(ctx context.Context, s *sidecar) {
	f.logEvent("SIGTERM %s", s.name)
	f.ledger.increment("faults: planned end")
	began := time.Now()
	if err := s.process.Signal(syscall.SIGTERM); err != nil {
		f.ledger.addViolation(InvariantProcess, "%s has ended by itself: %v", s.name, err)
	}
	for s.process.Running() && time.Since(began) < killDelay {
		if !wait.Sleep(ctx, 5*time.Millisecond) {
			break
		}
	}
	if s.process.Running() {
		f.logEvent("SIGKILL %s, which has not ended", s.name)
		f.ledger.increment("planned ends cut off")
		s.process.Kill()
	}
}

// pause stops a process for a moment.
func (f *fleet) pause(s *sidecar) {
	f.activeFaults.Go(func() {
		if s.process.Signal(syscall.SIGSTOP) != nil {
			return // it is being restarted
		}
		f.ledger.increment("faults: pause")
		time.Sleep(pauseDuration)
		_ = s.process.Signal(syscall.SIGCONT) // it may have been killed meanwhile
	})
}

// setServerMode puts some servers into a mode for a while.
func (f *fleet) setServerMode(ctx context.Context, m mode, from, count int, lasts time.Duration) {
	f.logEvent("%d servers from %s on: %s for %v", count, f.servers[from].name, m, lasts)
	f.ledger.increment("faults: server " + m.String())
	f.activeFaults.Go(func() {
		for i := range count {
			f.servers[(from+i)%len(f.servers)].setMode(m)
		}
		wait.Sleep(ctx, lasts)
		for i := range count {
			f.servers[(from+i)%len(f.servers)].setMode(modeNormal)
		}
	})
}

// drain lists a server as draining, or as up again.
func (f *fleet) drain(s *server, drained map[string]bool) {
	switch {
	case drained[s.name]:
		delete(drained, s.name)
		f.discovery.set(s.name, healthUp)
		f.ledger.drain(s.name, false)
	case len(drained) < len(f.servers)/drainedFraction:
		drained[s.name] = true
		f.ledger.drain(s.name, true)
		f.discovery.set(s.name, healthDraining)
	default:
		return
	}
	f.logEvent("%s drains: %v", s.name, drained[s.name])
	f.ledger.increment("faults: drain")
}
