package emulator

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Fault is a fault that is injected for a part of a run.
type Fault struct {
	Name     string   `toml:"name" json:"Name"`
	Start    Duration `toml:"at" json:"At"`
	Duration Duration `toml:"for" json:"For"`
	Part     float64  `toml:"part" json:"Part"`   // fraction of the servers, sidecars or requests that it affects
	Size     float64  `toml:"size" json:"Size"`   // severity; see faultKinds
	Extra    Duration `toml:"extra" json:"Extra"` // a further duration; see faultKinds
	Zone     int      `toml:"zone" json:"Zone"`   // for faults that affect one zone

	Tenant string `toml:"tenant,omitempty" json:"Tenant,omitempty"` // for burst: the tenant that it is limited to
}

// faultKind describes and implements a kind of fault.
type faultKind struct {
	description      string
	minSize, maxSize float64 // of Size
	begin            func(*Sim, *Fault) (undo func())
}

// faultKinds holds all kinds of faults by name. begin is called at a fault's start, and the function that
// it returns, if any, at the fault's end. A kind without begin is for real sockets only.
var faultKinds = map[string]faultKind{
	"slow":        {"servers run size times slower", 1, 1000, (*Sim).slow},
	"fast_errors": {"servers fail size, a fraction, of their requests at once", 0, 1, (*Sim).fastErrors},
	"neighbour":   {"another process takes size, a fraction, of the machines, on and off every extra", 0, 0.99, (*Sim).neighbour},
	"heavy_tail":  {"part of the first class's requests cost size times the usual work", 1, 1000, (*Sim).arrivalsOnly},
	"burst":       {"clients send size times as many requests, or only those of tenant", 0, 100, (*Sim).arrivalsOnly},
	"kill":        {"server processes are killed; they start again, cold, at its end", 0, 0, (*Sim).killServers},
	"vanish":      {"machines are unreachable, without closing connections", 0, 0, (*Sim).vanish},
	"replace":     {"servers are drained and replaced by new ones, in size steps over its time (0: one by one); each has extra to finish", 0, 10_000, (*Sim).replace},
	"zone_lost":   {"a zone's servers are killed and start again, cold, at its end", 0, 0, (*Sim).zoneLost},
	"partition":   {"a zone and the others cannot reach each other", 0, 0, (*Sim).partition},
	"list_down":   {"the discovery service is down", 0, 0, (*Sim).listDown},
	"stale_list":  {"the discovery service receives changes extra later", 0, 0, (*Sim).staleList},
	"spoilt":      {"responses arrive malformed although the request has run", 0, 0, (*Sim).malformedResponses},
	"reset":       {"connections break while requests are in flight", 0, 0, (*Sim).resets},
	"herd":        {"sidecars are killed at once; they restart after extra with only their old endpoint lists", 0, 0, (*Sim).herd},
	"no_advice":   {"part of the sidecars are disconnected from the overload advice task; if all are, another lease holder runs it afterwards", 0, 0, (*Sim).disconnectAdvice},
	"bad_clients": {"size connections a second to each sidecar send malformed requests; on real sockets only", 0, 1000, nil},
	"roll":        {"sidecars are shut down gracefully, one after the other over its time; each restarts extra after its end", 0, 0, (*Sim).roll},
}

// FaultNames lists the faults, sorted, with their descriptions.
func FaultNames() (names []string, descriptions map[string]string) {
	descriptions = make(map[string]string, len(faultKinds))
	for name, k := range faultKinds {
		names = append(names, name)
		descriptions[name] = k.description
	}
	slices.Sort(names)
	return names, descriptions
}

// check returns an error if the fault is invalid in the scenario.
func (t Fault) check(s *Scenario) error {
	kind, known := faultKinds[t.Name]
	if !known {
		names, _ := FaultNames()
		return fmt.Errorf("name: there is no fault %q, want one of %s", t.Name, strings.Join(names, ", "))
	}
	if err := t.checkTimes(); err != nil {
		return err
	}
	switch {
	case !(t.Part >= 0 && t.Part <= 1):
		return fmt.Errorf("%s: part is %g, it must lie between 0 and 1", t.Name, t.Part)
	case !(t.Size >= kind.minSize && t.Size <= kind.maxSize) && kind.maxSize > 0:
		return fmt.Errorf("%s: size is %g, it must lie between %g and %g", t.Name, t.Size, kind.minSize, kind.maxSize)
	case t.Tenant != "" && s.tenant(t.Tenant) < 0:
		return fmt.Errorf("%s: there is no tenant %q", t.Name, t.Tenant)
	case t.Name == "no_advice" && !s.OverloadAdvice:
		return fmt.Errorf("%s: the scenario has no overload advice", t.Name)
	case t.Zone < 0 || t.Zone >= len(s.Zones):
		return fmt.Errorf("%s: zone is %d, but there are %d zones", t.Name, t.Zone, len(s.Zones))
	}
	return nil
}

// checkTimes returns an error if a time of the fault is out of range.
func (t Fault) checkTimes() error {
	switch {
	case t.Start < 0 || t.Duration < 0 || t.Extra < 0:
		return fmt.Errorf("%s: at, for and extra must not be negative", t.Name)
	case time.Duration(t.Start) > maxLength || time.Duration(t.Duration) > maxLength || time.Duration(t.Extra) > maxLength:
		return fmt.Errorf("%s: at, for or extra is more than %v", t.Name, maxLength)
	}
	return nil
}

// selectServers picks the servers that a fault affects at random.
func (s *Sim) selectServers(t *Fault) (selected []*Server) {
	live := s.Live()
	for _, i := range PickShare(s.environment, len(live), t.Part) {
		selected = append(selected, live[i])
	}
	return selected
}

// updateServers updates servers. Each is advanced to the present before, and rescheduled after the update.
func (s *Sim) updateServers(servers []*Server, update func(*Server)) {
	for _, sv := range servers {
		s.advanceServer(sv)
		update(sv)
		s.advanceServer(sv)
	}
}

// updateWhile applies an update to a fault's servers until the returned function is called.
func (s *Sim) updateWhile(t *Fault, update func(sv *Server, on bool)) func() {
	affected := s.selectServers(t)
	s.updateServers(affected, func(sv *Server) { update(sv, true) })
	return func() { s.updateServers(affected, func(sv *Server) { update(sv, false) }) }
}

func choose(on bool, yes, no float64) float64 {
	if on {
		return yes
	}
	return no
}

func (s *Sim) slow(t *Fault) func() {
	return s.updateWhile(t, func(sv *Server, on bool) { sv.Slowdown = choose(on, t.Size, 1) })
}

func (s *Sim) fastErrors(t *Fault) func() {
	return s.updateWhile(t, func(sv *Server, on bool) { sv.FailureShare = choose(on, t.Size, 0) })
}

func (s *Sim) vanish(t *Fault) func() {
	return s.updateWhile(t, func(sv *Server, on bool) { s.disconnect(sv, on) })
}

// neighbour periodically takes capacity from the same machines.
func (s *Sim) neighbour(t *Fault) func() {
	affected, on, ended := s.selectServers(t), false, false
	var toggle func()
	toggle = func() {
		on = !on && !ended
		s.updateServers(affected, func(sv *Server) { sv.NeighbourShare = choose(on, t.Size, 0) })
		if !ended {
			s.after(max(time.Duration(t.Extra), minNeighbourPeriod), toggle)
		}
	}
	toggle()
	return func() {
		ended = true
		toggle()
	}
}

// minNeighbourPeriod is the shortest interval between two changes of the neighbour's load.
const minNeighbourPeriod = 100 * time.Millisecond

// arrivalsOnly does nothing: the fault is implemented by Arrivals.
func (s *Sim) arrivalsOnly(*Fault) func() { return nil }

func (s *Sim) killServers(t *Fault) func() {
	killed := s.selectServers(t)
	for _, sv := range killed {
		s.kill(sv)
	}
	return func() { s.restartServers(killed) }
}

func (s *Sim) zoneLost(t *Fault) func() {
	var killed []*Server
	for _, sv := range s.Live() {
		if sv.Zone == t.Zone {
			killed = append(killed, sv)
			s.kill(sv)
		}
	}
	return func() { s.restartServers(killed) }
}

// SuccessorDelay is the time from the start of a server's drain until its successor runs, as the successor
// takes some time to start.
const SuccessorDelay = time.Second

// StepTime returns the time after the start of a fault at which the nth of total servers is replaced: in
// Size steps, or one by one if Size is below 1.
func (t Fault) StepTime(n, total int) time.Duration {
	steps := total
	if t.Size >= 1 {
		steps = min(total, int(t.Size))
	}
	return time.Duration(float64(t.Duration) * float64(n*steps/total) / float64(steps))
}

// replace drains servers step by step; each gets a successor of the same zone, cell and kind.
func (s *Sim) replace(t *Fault) func() {
	replaced := s.selectServers(t)
	for n, sv := range replaced {
		s.after(t.StepTime(n, len(replaced)), func() {
			s.advanceServer(sv)
			sv.Draining = true
			s.list.changed(sv)
			s.after(SuccessorDelay, func() { s.add(sv.Zone, sv.Kind, sv.Cell, sv.Speed) })
			s.after(time.Duration(t.Extra), func() { s.kill(sv) })
		})
	}
	return nil
}

func (s *Sim) partition(t *Fault) func() {
	s.partitioned[t.Zone]++
	return func() { s.partitioned[t.Zone]-- }
}

func (s *Sim) listDown(*Fault) func() {
	s.list.takeDown()
	return func() { s.list.down = false }
}

func (s *Sim) staleList(t *Fault) func() {
	s.list.extraDelay += time.Duration(t.Extra)
	return func() { s.list.extraDelay -= time.Duration(t.Extra) }
}

func (s *Sim) malformedResponses(t *Fault) func() {
	s.malformedShare = t.Part
	return func() { s.malformedShare = 0 }
}

func (s *Sim) resets(t *Fault) func() {
	s.resetShare = t.Part
	return func() { s.resetShare = 0 }
}

func (s *Sim) herd(t *Fault) func() {
	for _, i := range PickShare(s.environment, len(s.nodes), t.Part) {
		s.restart(s.nodes[i], time.Duration(t.Extra))
	}
	return nil
}

func (s *Sim) roll(t *Fault) func() {
	restarted := PickShare(s.environment, len(s.nodes), t.Part)
	for n, i := range restarted {
		node := s.nodes[i]
		s.after(time.Duration(float64(t.Duration)*float64(n)/float64(len(restarted))), func() { s.shutDown(node, time.Duration(t.Extra)) })
	}
	return nil
}
