package policy

import (
	"testing"
	"time"
)

// Guards against this: late further tries take the places of requests that are in time.
func TestLateGivesWayToRests(t *testing.T) {
	sent := func(jam bool) int {
		b, h := start(t, lowTrafficConfig(), ready(1, 2, 3, 4))
		for _, s := range b.endpoints.servers[:2] {
			if s.outsideSubset = false; jam {
				s.ejection.until = time.Hour
			}
		}
		firstAttempts(b, 3*time.Second)
		before := len(h.sends)
		for id := range RequestID(10) {
			b.Request(ms, Request{ID: id, Class: idempotentClass, TimeLeft: time.Second})
			end(b, 2*ms, id, 0, Served)
		}
		return len(h.sends) - before
	}
	if n := sent(false); n != 10 {
		t.Errorf("%d of 10 late ones sent where there is room", n)
	}
	if n := sent(true); n != 0 {
		t.Errorf("%d of 10 late ones sent though half of the servers rest", n)
	}
}

// Guards against this: each of a thousand balancers meets a server once in half a minute,
// finds few of them at rest, and all go on sending into queues in which everything is late.
func TestJamOfTheWholeIsShed(t *testing.T) {
	var list []Endpoint
	for id := range ServerID(60) {
		list = append(list, Endpoint{ID: id, Cell: int(id / 6), State: Ready, Weight: 1})
	}
	b, h := start(t, lowTrafficConfig(), list)
	aim := b.classes[idempotentClass].LatencyObjective
	id := RequestID(0)
	sent := func(n int, part float64, every time.Duration, from time.Duration) int {
		before := len(h.sends)
		for i := range n {
			now := from + time.Duration(i)*every
			b.Wake(now)
			b.Request(now, Request{ID: id, Class: idempotentClass, TimeLeft: b.classes[idempotentClass].Deadline})
			if _, open := b.requests[id]; open {
				end(b, now+time.Duration(part*float64(aim)), id, 0, Served)
			}
			id++
		}
		return len(h.sends) - before
	}
	if n := sent(40, 0.1, 50*ms, time.Second); n != 40 {
		t.Errorf("%d of 40 sent while answers are quick", n)
	}
	if n := sent(60, 0.9, 50*ms, 4*time.Second); n < 5 || n > 35 {
		t.Errorf("%d of 60 sent while each answer takes 0.9 of its aim", n)
	}
	if n := sent(10, 0.1, 500*ms, 15*time.Second); n != 10 {
		t.Errorf("%d of 10 sent once nothing has been slow for a while", n)
	}
}
