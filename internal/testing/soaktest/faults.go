package soaktest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
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
	meanFaultInterval  = 180 * time.Millisecond // between two starts, in a fleet of up to referenceFleetSize
	referenceFleetSize = 16
	maxFaultDuration   = 3500 * time.Millisecond
	pauseDuration      = pauseSlack
	restartDelay       = 200 * time.Millisecond
	drainedFraction    = 3 // at most one of this many servers drains at the same time
	maxSignals         = 4 // bound on the signals of a series
)

// injectFaults starts faults, which may overlap, until the duration of the run has passed, and waits for
// their end.
func (f *fleet) injectFaults(ctx context.Context) {
	rng, details := f.newRand("faults", 0), f.newRand("details of faults", 0)
	meanInterval := max(meanFaultInterval*referenceFleetSize/time.Duration(max(f.Sidecars, referenceFleetSize)), 10*time.Millisecond)
	drained := make(map[string]bool)
	for time.Since(f.startedAt) < f.Duration && ctx.Err() == nil {
		time.Sleep(time.Duration(rng.Int64N(int64(2 * meanInterval))))
		f.beginFault(ctx, faultKind(rng.IntN(int(numFaultKinds))), rng, details, drained)
	}
	f.activeFaults.Wait()
	for host := range drained {
		f.discovery.setHealth(host, healthUp)
		f.ledger.recordDrain(host, false)
	}
}

// beginFault starts one fault. details is a separate random stream: drawing from it does not change
// which faults a seed produces.
func (f *fleet) beginFault(ctx context.Context, kind faultKind, rng, details *rand.Rand, drained map[string]bool) {
	s := f.sidecars[rng.IntN(len(f.sidecars))]
	server := f.servers[rng.IntN(len(f.servers))]
	duration := time.Duration(rng.Int64N(int64(maxFaultDuration)))
	switch kind {
	case faultGracefulRestart:
		f.restart(ctx, s, drawGracefulEnd(details))
	case faultKill:
		if rng.IntN(3) == 0 { // less frequent, since requests lost by a kill are not checked
			f.restart(ctx, s, nil)
		}
	case faultPause:
		f.pause(s)
	case faultReload:
		f.reload(s, 1+details.IntN(maxSignals), f.discovery.addresses[details.IntN(len(f.discovery.addresses))])
	case faultServerMode:
		m := mode(1 + rng.IntN(int(numModes)-1))
		f.setServerMode(ctx, m, rng.IntN(len(f.servers)), 1+rng.IntN(max(1, len(f.servers)*2/3)), duration)
	case faultDrain:
		f.drain(server, drained)
	case faultDiscovery:
		f.activeFaults.Go(func() { f.failDiscovery(ctx, duration) })
	}
}

// failDiscovery makes discovery unreachable for a while.
func (f *fleet) failDiscovery(ctx context.Context, duration time.Duration) {
	f.logEvent("discovery goes down for %v", duration)
	f.ledger.increment("faults: discovery down")
	f.ledger.recordDiscoveryState(!f.discovery.setDown(true))
	wait.Sleep(ctx, duration)
	f.ledger.recordDiscoveryState(!f.discovery.setDown(false))
}

// reload rewrites a sidecar's configuration, which may then have the other address of discovery, and
// makes the sidecar reload it several times in a row.
func (f *fleet) reload(s *sidecar, signals int, discovery string) {
	if s.isDown() {
		return
	}
	f.logEvent("SIGHUP %s, %d times, discovery at %s", s.name, signals, discovery)
	f.ledger.increment("faults: reload")
	if err := s.writeConfig(f.Seed, f.Sidecars, discovery, f.discovery.staleAddr); err != nil {
		f.ledger.addViolation(InvariantProcess, "%v", err)
		return
	}
	for range signals {
		_ = s.process.Signal(syscall.SIGHUP) // fails if the process has just ended
	}
}

// gracefulEnd describes the signals of a graceful shutdown.
type gracefulEnd struct {
	signals       []syscall.Signal // sent one right after the other; SIGTERM is among them
	repeats       []time.Duration  // times after the first signals at which SIGTERM and SIGHUP are sent again
	discoveryDown time.Duration    // length of a discovery outage that starts with the shutdown; 0: no outage
}

// drawGracefulEnd draws the signals of a graceful shutdown.
func drawGracefulEnd(rng *rand.Rand) *gracefulEnd {
	end := &gracefulEnd{signals: []syscall.Signal{syscall.SIGTERM}}
	for range rng.IntN(maxSignals) {
		if rng.IntN(2) == 0 {
			end.signals = append([]syscall.Signal{syscall.SIGHUP}, end.signals...)
		} else {
			end.signals = append(end.signals, syscall.SIGHUP)
		}
	}
	for range rng.IntN(maxSignals) {
		end.repeats = append(end.repeats, time.Duration(rng.Int64N(int64(killDelay))))
	}
	slices.Sort(end.repeats)
	if rng.IntN(maxSignals) == 0 {
		end.discoveryDown = time.Duration(rng.Int64N(int64(maxFaultDuration)))
	}
	return end
}

// restart stops a sidecar, gracefully or by SIGKILL if end is nil, and starts it again.
func (f *fleet) restart(ctx context.Context, s *sidecar, end *gracefulEnd) {
	if s.isDown() {
		return
	}
	s.markDown(end == nil)
	f.activeFaults.Go(func() {
		if end != nil {
			f.gracefulRestart(ctx, s, end)
		} else {
			f.logEvent("SIGKILL %s", s.name)
			f.checkMemory(s)
			f.ledger.increment("faults: kill")
			if !s.process.Running() {
				f.ledger.addViolation(InvariantProcess, "%s had ended before it was killed: %v", s.name, s.process.EndError())
			}
			s.process.Kill()
			s.markDown(true) // requests that came until the process ended are not checked either
		}
		wait.Sleep(ctx, restartDelay)
		if err := s.start(); err != nil {
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

// gracefulRestart stops a process by SIGTERM, and by SIGKILL if it has not ended after killDelay.
func (f *fleet) gracefulRestart(ctx context.Context, s *sidecar, end *gracefulEnd) {
	f.logEvent("%v %s, again after %v", end.signals, s.name, end.repeats)
	f.ledger.increment("faults: planned end")
	if end.discoveryDown > 0 {
		f.ledger.increment("faults: discovery down during a planned end")
		f.activeFaults.Go(func() { f.failDiscovery(ctx, end.discoveryDown) })
	}
	f.checkMemory(s)
	began := time.Now()
	for _, signal := range end.signals {
		f.ledger.increment(fmt.Sprintf("signals: %v with a planned end", signal))
		if err := s.process.Signal(signal); err != nil {
			f.ledger.addViolation(InvariantProcess, "%s had ended before the signal: %v", s.name, err)
		}
	}
	for repeats := end.repeats; s.process.Running() && time.Since(began) < killDelay; {
		if len(repeats) > 0 && time.Since(began) > repeats[0] {
			repeats = repeats[1:]
			f.ledger.increment("signals: again during the end")
			_ = s.process.Signal(syscall.SIGTERM) // fails if the process has just ended
			_ = s.process.Signal(syscall.SIGHUP)
		}
		if !wait.Sleep(ctx, 5*time.Millisecond) {
			break
		}
	}
	if s.process.Running() {
		f.logEvent("SIGKILL %s, which did not end after SIGTERM", s.name)
		f.ledger.increment("planned ends cut off")
		s.process.Kill()
		return
	}
	if err := s.process.EndError(); err != nil {
		f.ledger.addViolation(InvariantProcess, "%s did not end in order: %v", s.name, err)
	}
}

// pause stops a process by SIGSTOP for pauseDuration.
func (f *fleet) pause(s *sidecar) {
	f.activeFaults.Go(func() {
		if s.process.Signal(syscall.SIGSTOP) != nil {
			return // the process is being restarted
		}
		begun := time.Now()
		f.ledger.increment("faults: pause")
		time.Sleep(pauseDuration)
		_ = s.process.Signal(syscall.SIGCONT) // fails if the process was killed meanwhile
		s.recordPause(begun, time.Now())
	})
}

// setServerMode sets the mode of some servers for a while.
func (f *fleet) setServerMode(ctx context.Context, m mode, from, count int, duration time.Duration) {
	f.logEvent("%d servers from %s on: %s for %v", count, f.servers[from].name, m, duration)
	f.ledger.increment("faults: server " + m.String())
	f.activeFaults.Go(func() {
		for i := range count {
			f.servers[(from+i)%len(f.servers)].setMode(m)
		}
		wait.Sleep(ctx, duration)
		for i := range count {
			f.servers[(from+i)%len(f.servers)].setMode(modeNormal)
		}
	})
}

// drain marks a server as draining, or as up if it is draining.
func (f *fleet) drain(s *server, drained map[string]bool) {
	switch {
	case drained[s.name]:
		delete(drained, s.name)
		f.discovery.setHealth(s.name, healthUp)
		f.ledger.recordDrain(s.name, false)
	case len(drained) < len(f.servers)/drainedFraction:
		drained[s.name] = true
		f.ledger.recordDrain(s.name, true)
		f.discovery.setHealth(s.name, healthDraining)
	default:
		return
	}
	f.logEvent("%s drains: %v", s.name, drained[s.name])
	f.ledger.increment("faults: drain")
}
