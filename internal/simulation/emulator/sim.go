package emulator

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"barleywick/policy"
)

// Sim runs a scenario in simulated time. It runs in the caller's goroutine; the result depends only on the
// scenario, the seed and the Decider.
type Sim struct {
	newDecider      DeciderFactory
	now             time.Duration
	queue           events
	scheduledEvents uint64 // number of events scheduled so far; events of the same time run in this order

	*Fleet
	advice      *adviceTask     // nil: the scenario has no overload advice
	nextAdvance []time.Duration // by server: time of its next scheduled advance
	nodes       []*node
	list        *listServer
	clients     *clients
	checker     *Checker
	record      *Record

	environment *rand.Rand // for faults and servers: the same draws for all variants
	feedback    *rand.Rand // for draws whose order depends on the sidecars' decisions, such as network delays

	// Effects of active faults on the whole simulation.
	partitioned                []int // by zone
	malformedShare, resetShare float64

	failure error // the first error of a sidecar's start, which ends the run
}

// StartTime is the simulated time at which a run starts. It is not 0, as the decision module treats a time of 0
// as long ago.
const StartTime = time.Hour

// Stream numbers of the random sources that are derived from a seed.
const (
	streamEnvironment = iota + 1
	streamFeedback
	streamClients
	streamArrivals
	streamClientChoices
	streamServers
)

// NewSim prepares a run. The scenario must not be modified afterwards.
func NewSim(sc *Scenario, seed uint64, decide DeciderFactory) (*Sim, error) {
	if err := sc.Check(); err != nil {
		return nil, err
	}
	for i, t := range sc.Faults {
		if faultKinds[t.Name].begin == nil {
			return nil, fmt.Errorf("scenario: troubles[%d]: %s is for real sockets only", i, t.Name)
		}
	}
	s := &Sim{newDecider: decide, now: StartTime, partitioned: make([]int, len(sc.Zones))}
	s.environment = source(seed, streamEnvironment, 0)
	s.feedback = source(seed, streamFeedback, 0)
	s.checker = newChecker(sc, func(i int) (int, int) { return s.ZoneAndCell(i) })
	s.record = NewRecord(sc, seed)
	s.Fleet = NewFleet(sc, seed, s.environment)
	s.list = newListServer(s)
	for _, sv := range s.Servers {
		s.nextAdvance = append(s.nextAdvance, Never)
		s.list.addInitial(sv)
	}
	for i := range sc.Sidecars {
		s.nodes = append(s.nodes, &node{sim: s, index: i, zone: sc.ZoneOf(i), idle: make(map[int][]time.Duration)})
	}
	s.clients = newClients(s)
	if sc.OverloadAdvice {
		s.advice = newAdviceTask(s)
	}
	for i := range sc.Faults {
		t := &sc.Faults[i]
		s.schedule(StartTime+time.Duration(t.Start), func() {
			undo := faultKinds[t.Name].begin(s, t)
			if undo != nil {
				s.after(time.Duration(t.Duration), undo)
			}
		})
	}
	return s, nil
}

// add starts a new server, which the discovery service lists after its delay.
func (s *Sim) add(zone int, k MachineKind, cell *Cell, speed float64) {
	sv := s.AddServer(zone, k, cell, speed, s.now)
	s.nextAdvance = append(s.nextAdvance, Never)
	sv.Start(s.now)
	s.list.changed(sv)
}

// cancelCheckInterval is the number of events between two checks of ctx.
const cancelCheckInterval = 1024

// Run runs the scenario to its end. If ctx is done before, the record covers the part that was run.
func (s *Sim) Run(ctx context.Context) (*Record, error) {
	for _, n := range s.nodes {
		n.start()
	}
	s.clients.scheduleNext()
	s.sample()
	s.sendIdealInformation()
	end := StartTime + time.Duration(s.scenario.Length) + s.longestDeadline() + 2*time.Duration(s.scenario.Rules.AnswerSlack)
	for n := 0; len(s.queue) > 0 && s.failure == nil; n++ {
		if n%cancelCheckInterval == 0 && ctx.Err() != nil {
			s.finish(true)
			return s.record, ctx.Err()
		}
		e := heap.Pop(&s.queue).(event)
		if e.at > end {
			break
		}
		s.now = e.at
		e.run()
	}
	s.now = end
	s.checker.Finish(end)
	s.finish(false)
	return s.record, s.failure
}

// finish completes the record.
func (s *Sim) finish(partial bool) {
	s.record.Events = int(s.scheduledEvents)
	s.record.Finish(s.checker, partial)
}

// sample records the servers' state once a second.
func (s *Sim) sample() {
	for _, sv := range s.Servers {
		waiting, capacity := sv.State(s.now)
		s.record.Sample(s.now-StartTime, sv.Zone, waiting, capacity)
	}
	s.after(time.Second, s.sample)
}

// longestDeadline returns the longest deadline of all classes.
func (s *Sim) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.scenario.Classes {
		longest = max(longest, time.Duration(c.Deadline))
	}
	return longest
}

// jobEnded handles a request that a server has finished.
func (s *Sim) jobEnded(sv *Server, j *Job) {
	a := j.Owner.(*attempt)
	if j.Dropped {
		s.checker.AttemptEnded(a.request.id, a.number, false)
		s.reply(sv, a, policy.Rejected)
		return
	}
	a.completed = true
	if a.ended || a.request.closed {
		s.record.AddWasted(s.now, j.work)
	}
	a.work = j.work
	switch {
	case j.Failed:
		s.record.AddWasted(s.now, j.work)
		s.reply(sv, a, policy.Errored)
	case s.malformedShare > 0 && s.feedback.Float64() < s.malformedShare:
		a.malformed = true
		s.record.AddWasted(s.now, j.work)
		s.reply(sv, a, policy.Errored)
	default:
		s.reply(sv, a, policy.Served)
	}
}

// kill ends a server's process. Its connections and the attempts on them break.
func (s *Sim) kill(sv *Server) {
	if !sv.Alive {
		return
	}
	s.advanceServer(sv)
	for _, n := range s.nodes {
		delete(n.idle, sv.Index)
	}
	for _, j := range sv.Kill(s.now) {
		a := j.Owner.(*attempt)
		s.record.AddWasted(s.now, j.work)
		s.reply(sv, a, policy.Broken)
	}
	s.list.changed(sv)
}

// restartServers starts killed servers again; each has a new slow start.
func (s *Sim) restartServers(killed []*Server) {
	for _, sv := range killed {
		if !sv.Alive {
			sv.Start(s.now)
			s.list.changed(sv)
		}
	}
}

// disconnect makes a machine unreachable if on is set, and reachable again otherwise.
func (s *Sim) disconnect(sv *Server, on bool) {
	sv.Unreachable = on
	s.list.changed(sv)
}

// advanceServer advances a server to the present, replies to the requests that ended and schedules its next
// advance.
func (s *Sim) advanceServer(sv *Server) {
	for _, j := range sv.Advance(s.now) {
		s.jobEnded(sv, j)
	}
	next := sv.NextAdvance()
	if next == Never || (s.nextAdvance[sv.Index] <= next && s.nextAdvance[sv.Index] > s.now) {
		return // an advance is already scheduled early enough
	}
	s.nextAdvance[sv.Index] = next
	s.schedule(next, func() {
		if s.nextAdvance[sv.Index] == next {
			s.nextAdvance[sv.Index] = Never
		}
		if sv.Alive {
			s.advanceServer(sv)
		}
	})
}
