package policy

import (
	"testing"
	"time"
)

// Late requests must not use capacity that other requests need while servers are ejected.
func TestLateRequestsAreShedWhileServersAreEjected(t *testing.T) {
	sent := func(ejected bool) int {
		b, h := start(t, lowTrafficConfig(), ready(1, 2, 3, 4))
		for _, s := range b.endpoints.servers[:2] {
			s.outsideSubset = false
			if ejected {
				s.ejection.until = time.Hour
			}
		}
		learnUsualTimeLeft(b, 3*time.Second)
		before := len(h.sends)
		for id := range RequestID(10) {
			b.Request(ms, Request{ID: id, Class: idempotentClass, TimeLeft: time.Second})
			end(b, 2*ms, id, 0, Served)
		}
		return len(h.sends) - before
	}
	if n := sent(false); n != 10 {
		t.Errorf("got %d of 10 late requests sent to healthy servers, want all", n)
	}
	if n := sent(true); n != 0 {
		t.Errorf("got %d of 10 late requests sent while half of the servers are ejected, want none", n)
	}
}

// One of a thousand balancers contacts a server twice a minute and thus observes few ejections, while all
// balancers together keep queues so long that every response is late.
func TestLoadIsShedByOverallCongestion(t *testing.T) {
	var list []Endpoint
	for id := range ServerID(60) {
		list = append(list, Endpoint{ID: id, Cell: int(id / 6), State: Ready, Weight: 1})
	}
	b, h := start(t, lowTrafficConfig(), list)
	objective := b.classes[idempotentClass].LatencyObjective
	id := RequestID(0)
	sent := func(n int, share float64, interval, from time.Duration) int {
		before := len(h.sends)
		for i := range n {
			now := from + time.Duration(i)*interval
			b.Wake(now)
			b.Request(now, Request{ID: id, Class: idempotentClass, TimeLeft: b.classes[idempotentClass].Deadline})
			if _, open := b.requests[id]; open {
				end(b, now+time.Duration(share*float64(objective)), id, 0, Served)
			}
			id++
		}
		return len(h.sends) - before
	}
	if n := sent(40, 0.1, 50*ms, time.Second); n != 40 {
		t.Errorf("got %d of 40 sent while responses are fast, want all", n)
	}
	if n := sent(60, 0.9, 50*ms, 4*time.Second); n < 5 || n > 35 {
		t.Errorf("got %d of 60 sent while each response takes 0.9 of its objective, want 5 to 35", n)
	}
	if n := sent(10, 0.1, 500*ms, 15*time.Second); n != 10 {
		t.Errorf("got %d of 10 sent some time after the last slow response, want all", n)
	}
}
