package sidecar

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"barleywick/internal/registry/client"
	"barleywick/internal/registry/registrytest"
	"barleywick/internal/sidecar/sidecartest"
	"barleywick/policy"
)

func TestMalformedEndpointsAreIgnored(t *testing.T) {
	good := registrytest.EndpointJSON("s-1", "127.0.0.1:7", "up", 0)
	text := validJSON(t, registrytest.ListJSON(1, true, `{"host":7,"dial":"127.0.0.1:7","health":"up"}`, `"nonsense"`, `{"dial":"127.0.0.1:7","health":"up"}`,
		registrytest.EndpointJSON("s-2", "nowhere", "up", 0), good, `{"host":"s-3","dial":"127.0.0.1:8","health":"up","later":{"x":1}}`))
	var known client.ListUpdate
	if err := json.Unmarshal([]byte(text), &known); err != nil {
		t.Fatal(err)
	}
	l := newTestLoop(t)
	l.applyListing(policy.ListFull, known)
	if len(l.endpoints.byName) != 2 || l.endpoints.byName["s-1"] == nil || l.endpoints.byName["s-3"] == nil {
		t.Errorf("endpoints %v, want s-1 and s-3", l.endpoints.byName)
	}
}

// An endpoint whose entry cannot be read is still listed: it stays as it was, also in a full list,
// which removes what it does not name.
func TestMalformedEntryLeavesItsEndpointUnchanged(t *testing.T) {
	draining := registrytest.EndpointJSON("s-2", "127.0.0.1:8", "draining", 0)
	l := newTestLoop(t, registrytest.EndpointJSON("s-1", "127.0.0.1:7", "up", 0), draining, registrytest.EndpointJSON("s-3", "127.0.0.1:9", "up", 0))
	var update client.ListUpdate
	text := validJSON(t, registrytest.ListJSON(2, true, `{"host":"s-1","dial":7,"health":"up"}`, `{"host":"s-2","dial":"127.0.0.1:8","health":"up","share":"x"}`,
		`{"host":"s-9","dial":7,"health":"up"}`, registrytest.EndpointJSON("s-4", "nowhere", "up", 0)))
	if err := json.Unmarshal([]byte(text), &update); err != nil {
		t.Fatal(err)
	}
	l.applyListing(policy.ListFull, update)
	if h := l.endpoints.byName["s-1"]; h == nil || h.entry.Dial != "127.0.0.1:7" || h.drainingSince != 0 {
		t.Errorf("s-1 is %+v, want it unchanged", h)
	}
	if h := l.endpoints.byName["s-2"]; h == nil || h.drainingSince == 0 {
		t.Errorf("s-2 is %+v, want it still draining", h)
	}
	if l.endpoints.byName["s-3"] != nil || l.endpoints.byName["s-4"] != nil || l.endpoints.byName["s-9"] != nil || len(l.endpoints.byName) != 2 {
		t.Errorf("endpoints %v, want s-1 and s-2", l.endpoints.byName)
	}
}

func TestEntriesBecomeEndpoints(t *testing.T) {
	l := newTestLoop(t)
	enter := func(e client.Endpoint) policy.Endpoint {
		s, ok := l.enterEndpoint(e)
		if !ok {
			t.Fatalf("%+v was ignored", e)
		}
		return s
	}
	cell := 3
	e := client.Endpoint{Host: "s-1", Dial: "127.0.0.1:7", Site: "a", Block: &cell, Health: "up", Share: 1.5}
	s := enter(e)
	if s.State != policy.Ready || s.Weight != 1.5 || s.Cell != 3 || s.Zone != 0 || s.Started != 0 {
		t.Errorf("endpoint %+v", s)
	}
	e.Dial, e.Health = "127.0.0.1:8", "draining"
	if d := enter(e); d.ID != s.ID || d.State != policy.Draining || l.endpoints.byName["s-1"].entry.Dial != e.Dial {
		t.Errorf("at another address it is %+v, was %+v", d, s)
	}
	e.Health = "a later state"
	if d := enter(e); d.State != policy.Draining {
		t.Errorf("unknown health gives %v", d.State)
	}
	e.Health, e.Dial = "removed", ""
	if d := enter(e); d.ID != s.ID || d.State != policy.Removed {
		t.Errorf("removed without an address gives %+v", d)
	}
	other := enter(client.Endpoint{Host: "s-2", Dial: "127.0.0.1:9", Site: "elsewhere", Health: "up"})
	third := enter(client.Endpoint{Host: "s-3", Dial: "127.0.0.1:9", Site: "elsewhere", Health: "up"})
	if other.ID == s.ID || other.Zone == 0 || other.Zone != third.Zone || other.Cell == third.Cell {
		t.Errorf("endpoints %+v and %+v", other, third)
	}
}

// A server that started shortly before this process is warming up: its start must be a positive time
// on the balancer's clock.
func TestEarlierStartIsNotLongAgo(t *testing.T) {
	l := newTestLoop(t)
	born := time.Now().Add(-2 * time.Second).UnixMilli()
	s, ok := l.enterEndpoint(client.Endpoint{Host: "s-1", Dial: "127.0.0.1:7", Health: "up", BornMS: float64(born)})
	if age := l.clock.read() - s.Started; !ok || s.Started <= 0 || age < time.Second || age > sidecartest.Patience {
		t.Errorf("started at %v, %v ago by the balancer's clock", s.Started, age)
	}
	ahead := client.Endpoint{Host: "s-2", Dial: "127.0.0.1:7", Health: "up", BornMS: float64(time.Now().Add(time.Hour).UnixMilli())}
	first, _ := l.enterEndpoint(ahead)
	l.clock.now = l.clock.read() + time.Second
	if again, _ := l.enterEndpoint(ahead); first.Started > l.clock.now || again.Started != first.Started {
		t.Errorf("a start ahead of the clock is %v and then %v", first.Started, again.Started)
	}
}

// The wall clock is set ahead while the process runs: a server that starts then is warming up.
func TestStartAfterAStepOfTheWallClock(t *testing.T) {
	l := newTestLoop(t)
	const step = time.Hour
	l.clock.wallNow = func() time.Time { return time.Now().Add(step) }
	l.clock.now = l.clock.read()
	born := float64(time.Now().Add(step - time.Second).UnixMilli())
	s, ok := l.enterEndpoint(client.Endpoint{Host: "s-1", Dial: "127.0.0.1:7", Site: "a", Health: "up", Share: 1, BornMS: born})
	if age := l.clock.now - s.Started; !ok || age < 500*time.Millisecond || age > 1500*time.Millisecond {
		t.Errorf("a server that started 1 s ago is %v old", age)
	}
}

// The balancer matches a server's probe results to its calls by their order.
func TestProbeResultsKeepTheirOrder(t *testing.T) {
	l := newTestLoop(t, registrytest.EndpointJSON("s-1", "127.0.0.1:7", "up", 0))
	h := l.endpoints.byName["s-1"]
	first, second := &pendingProbe{endpoint: h}, &pendingProbe{endpoint: h}
	h.probes = []*pendingProbe{first, second}
	probeCompleted{second, true, policy.LoadReport{InFlight: 1}}.handle(l)
	if len(h.probes) != 2 {
		t.Fatal("the second result went before the first")
	}
	probeCompleted{first, false, policy.UnknownLoad}.handle(l)
	if len(h.probes) != 0 {
		t.Errorf("%d results are kept back", len(h.probes))
	}
}

// From the watch event on everything goes to the other server.
func TestDrainActsAtOnce(t *testing.T) {
	g := registrytest.NewServer(t)
	a, b := sidecartest.NewFakeServer(t, sidecartest.Always(sidecartest.OKResponse("a"))), sidecartest.NewFakeServer(t, sidecartest.Always(sidecartest.OKResponse("b")))
	addr, _, _ := startSidecar(t, testConfig(t, options{}, g.Addr, registrytest.EndpointJSON("s-1", a.Addr, "up", 0)))
	w := sidecartest.Await(t, "the watch", g.Watches)
	serveSoon(t, addr)
	sidecartest.Await(t, "a request", a.Requests)
	w.Lines <- registrytest.ListJSON(2, false, registrytest.EndpointJSON("s-1", a.Addr, "draining", 0), registrytest.EndpointJSON("s-2", b.Addr, "up", 0))
	for i := range 1000 { // until the watch event has arrived
		if got := (call{class: "once", id: fmt.Sprint(i)}).do(t, addr); got.body == "b" {
			break
		}
	}
	before := len(a.Requests)
	for i := range 20 {
		if got := (call{class: "once", id: fmt.Sprint("later-", i)}).do(t, addr); got.body != "b" {
			t.Errorf("got %+v", got)
		}
	}
	if len(a.Requests) != before {
		t.Error("a request was forwarded to a draining server")
	}
}
