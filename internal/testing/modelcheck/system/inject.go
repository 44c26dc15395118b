package system

import "strings"

// faultTarget returns the process that a fault's target refers to at present, or nil if there is none.
func (w *world) faultTarget(f Fault) *process {
	if lease, ok := strings.CutPrefix(f.Target, "holder:"); ok {
		return w.leaseHolder(lease)
	}
	replicas, leader := w.raft.replicas, max(0, w.raft.leader)
	switch f.Target {
	case "leader":
		return &replicas[leader].process
	case "follower":
		return &replicas[(leader+1)%len(replicas)].process
	}
	for _, p := range w.processes() {
		if p.name == f.Target {
			return p
		}
	}
	return nil
}

// leaseHolder returns a controller that holds the lease according to its own clock, or else the first controller.
func (w *world) leaseHolder(lease string) *process {
	for _, ctl := range w.controllers {
		if session := ctl.sessions[lease]; ctl.up && session != nil && session.Held(ctl.monotonic()) {
			return &ctl.process
		}
	}
	return &w.controllers[0].process
}

// processes returns all processes that faults can be injected into.
func (w *world) processes() (all []*process) {
	for _, r := range w.raft.replicas {
		all = append(all, &r.process)
	}
	for _, ctl := range w.controllers {
		all = append(all, &ctl.process)
	}
	for _, sc := range w.sidecars {
		all = append(all, &sc.process)
	}
	return all
}

// injectFault begins a fault of the plan and schedules its end.
func (w *world) injectFault(i int) {
	f := w.plan[i]
	p := w.faultTarget(f)
	if p == nil || w.settling {
		return
	}
	driftRate := []int64{slowClockRate, fastClockRate}[i%2]
	w.activeFaults[i] = f
	w.beginFault(f.Kind, p, driftRate)
	w.after(f.Duration, func() {
		if _, active := w.activeFaults[i]; active {
			delete(w.activeFaults, i)
			w.endFault(f.Kind, p)
		}
	})
}

// beginFault applies a fault to a process.
func (w *world) beginFault(kind FaultKind, p *process, driftRate int64) {
	switch kind {
	case Crash:
		p.kill()
	case Pause:
		p.pause()
	case ClockDrift:
		p.setClockRate(driftRate)
	default:
		w.setCondition(kind, p, true)
	}
}

// endFault ends a fault's effect. It kills or pauses the process again before starting or
// unpausing it, in case another fault has started or unpaused it meanwhile.
func (w *world) endFault(kind FaultKind, p *process) {
	switch kind {
	case Crash:
		p.kill()
		p.start()
	case Pause:
		p.pause()
		p.unpause()
		w.raft.handleUnpause(p)
	case ClockDrift:
		p.setClockRate(normalClockRate)
	default:
		w.setCondition(kind, p, false)
	}
}

// setCondition switches a fault's effect on a process's messages or disk on or off.
func (w *world) setCondition(kind FaultKind, p *process, on bool) {
	switch kind {
	case Partition:
		p.outboundBlocked, p.inboundBlocked = on, on
	case BlockOutbound:
		p.outboundBlocked = on
	case BlockInbound:
		p.inboundBlocked = on
	case Delay:
		p.delayed = on
	case DiskFull:
		for _, r := range w.raft.replicas {
			if &r.process == p {
				r.diskFull = on
			}
		}
	}
}

// endFaults ends all faults, and starts every process that is not running.
func (w *world) endFaults() {
	w.settling = true
	clear(w.activeFaults)
	for _, r := range w.raft.replicas {
		r.diskFull = false
	}
	for _, p := range append([]*process{w.operator}, w.processes()...) {
		p.outboundBlocked, p.inboundBlocked, p.delayed = false, false, false
		p.setClockRate(normalClockRate)
		p.unpause()
		p.start()
	}
}
