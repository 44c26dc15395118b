package client

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"barleywick/internal/registry"
	"barleywick/internal/registry/registrytest"
)

const patience = 10 * time.Second // how long a test waits for an event; it never has to in a good run

// await takes the next value of a channel.
func await[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatalf("waited in vain for %s", what)
		panic("unreachable")
	}
}

// startDiscovery follows a fake registry and hands out what is delivered.
func startDiscovery(t *testing.T, g *registrytest.Server, known *ListUpdate) <-chan ListUpdate {
	t.Helper()
	news := make(chan ListUpdate, 10)
	d := NewWatcher(WatcherOptions{Addrs: []string{g.Addr}, LastKnown: known, Deliver: func(l ListUpdate) { news <- l }})
	go d.Follow(t.Context())
	return news
}

func TestWatchBringsChangesInOrder(t *testing.T) {
	g := registrytest.NewServer(t)
	news := startDiscovery(t, g, &ListUpdate{Seq: 41, Full: true})
	w := await(t, "the watch", g.Watches)
	if w.From != "41" {
		t.Errorf("from %s, want 41", w.From)
	}
	up, drain := registrytest.EndpointJSON("s-1", "127.0.0.1:7", "up", 0), registrytest.EndpointJSON("s-1", "127.0.0.1:7", "draining", 0)
	w.Lines <- registrytest.ListJSON(43, false, up)
	w.Lines <- ""
	w.Lines <- registrytest.ListJSON(43, false, up) // had already
	w.Lines <- registrytest.ListJSON(47, false, drain)
	for i, want := range []struct {
		seq    uint64
		hosts  int
		health string
	}{{43, 1, "up"}, {43, 0, ""}, {47, 1, "draining"}} {
		l := await(t, "a change", news)
		if l.Seq != want.seq || len(l.Endpoints) != want.hosts || (want.hosts > 0 && l.Endpoints[0].Health != want.health) {
			t.Errorf("change %d is %+v, want %+v", i, l, want)
		}
	}
	close(w.Lines) // the watch ends
	if w := await(t, "the next watch", g.Watches); w.From != "47" {
		t.Errorf("the next watch is from %s, want 47", w.From)
	}
}

func TestGapBringsTheWholeList(t *testing.T) {
	for name, line := range map[string]string{
		"unreadable": `{"seq":42,"whole":false,"hosts":[{"ho`, "backwards": registrytest.ListJSON(30, false), "no list": `{"seq":42,"hosts":7}`,
		"whole and without hosts": `{"seq":42,"whole":true}`, "whole and without a version": `{"whole":true,"hosts":[]}`, "no object": `42`,
	} {
		t.Run(name, func(t *testing.T) {
			g := registrytest.NewServer(t)
			news := startDiscovery(t, g, &ListUpdate{Seq: 41, Full: true})
			w := await(t, "the watch", g.Watches)
			w.Lines <- line
			await(t, "the call for the whole list", g.ListCalls)
			g.FullLists <- registrytest.ListJSON(45, true, registrytest.EndpointJSON("s-1", "127.0.0.1:7", "up", 0))
			if l := await(t, "the list", news); l.Seq != 45 || !l.Full || len(l.Endpoints) != 1 {
				t.Errorf("delivered %+v", l)
			}
			if w := await(t, "the next watch", g.Watches); w.From != "45" {
				t.Errorf("the next watch is from %s, want 45", w.From)
			}
		})
	}
}

func TestSilentWatchIsReopened(t *testing.T) {
	g := registrytest.NewServer(t)
	startDiscovery(t, g, &ListUpdate{Seq: 1, Full: true})
	w := await(t, "the watch", g.Watches)
	start := time.Now()
	w2 := await(t, "the next watch", g.Watches)
	if took := time.Since(start); took < watchTimeout/2 || w2.From != "1" {
		t.Errorf("reopened after %v from %s", took, w2.From)
	}
	await(t, "the end of the silent one", w.Ended)
}

// A new address counts at once, its whole list first: its versions may have
// nothing to do with the old one's, whose news must not come after it.
func TestMovedDiscovery(t *testing.T) {
	for name, held := range map[string]*ListUpdate{"watching": {Seq: 41, Full: true}, "waiting for a list": nil} {
		t.Run(name, func(t *testing.T) {
			old, fresh := registrytest.NewServer(t), registrytest.NewServer(t)
			news := make(chan ListUpdate, 10)
			d := NewWatcher(WatcherOptions{Addrs: []string{old.Addr}, LastKnown: held, Deliver: func(l ListUpdate) { news <- l }})
			go d.Follow(t.Context())
			if held == nil {
				await(t, "the call to the old one", old.ListCalls)
			} else {
				w := await(t, "the old watch", old.Watches)
				defer await(t, "the old watch's end", w.Ended)
			}
			d.SetAddrs([]string{"127.0.0.1:1"}) // and at once on: the last one counts
			d.SetAddrs([]string{fresh.Addr})
			await(t, "the call for the new list", fresh.ListCalls)
			fresh.FullLists <- registrytest.ListJSON(7, true, registrytest.EndpointJSON("s-1", "127.0.0.1:7", "up", 0))
			if l := await(t, "the list", news); l.Seq != 7 || !l.Full || len(l.Endpoints) != 1 {
				t.Errorf("delivered %+v", l)
			}
			if w := await(t, "the new watch", fresh.Watches); w.From != "7" {
				t.Errorf("the new watch is from %s, want 7", w.From)
			}
			if len(news) > 0 {
				t.Errorf("more came: %+v", <-news)
			}
		})
	}
}

// Where the module asks for the list, a move needs no asking, and what goes
// wrong at the new address is told as ever.
func TestMovedDiscoveryThatIsAsked(t *testing.T) {
	old, fresh := registrytest.NewServer(t), registrytest.NewServer(t)
	asks, failed, news := make(chan struct{}, 1), make(chan struct{}, 1), make(chan ListUpdate, 10)
	d := NewWatcher(WatcherOptions{Addrs: []string{old.Addr}, LastKnown: &ListUpdate{Seq: 3, Full: true}, Deliver: func(l ListUpdate) { news <- l }})
	d.options.Polls, d.options.OnLoss = asks, func(ListLoss) { failed <- struct{}{} }
	go d.Follow(t.Context())
	asks <- struct{}{}
	await(t, "the old watch", old.Watches)
	d.SetAddrs([]string{fresh.Addr})
	await(t, "the call for the new list", fresh.ListCalls)
	fresh.FullLists <- registrytest.ListJSON(1, true)
	if l := await(t, "the list", news); l.Seq != 1 || !l.Full {
		t.Errorf("delivered %+v", l)
	}
	close(await(t, "the new watch", fresh.Watches).Lines)
	await(t, "word of its end", failed)
}

// Where the list is asked for, the module asks, and hears of success and failure.
func TestAskedListIsTheModulesToAsk(t *testing.T) {
	g := registrytest.NewServer(t)
	asks, failed, news := make(chan struct{}, 1), make(chan struct{}, 1), make(chan ListUpdate, 10)
	d := NewWatcher(WatcherOptions{Addrs: []string{g.Addr}, LastKnown: &ListUpdate{Seq: 3, Full: true}, Deliver: func(l ListUpdate) { news <- l }})
	d.options.Polls, d.options.OnLoss = asks, func(ListLoss) { failed <- struct{}{} }
	go d.Follow(t.Context())
	asks <- struct{}{}
	w := await(t, "the watch", g.Watches)
	w.Lines <- "" // nothing has changed: the call went well all the same
	if l := await(t, "word of it", news); l.Seq != 3 || l.Full || len(l.Endpoints) != 0 {
		t.Errorf("delivered %+v", l)
	}
	close(w.Lines)
	await(t, "word of the failure", failed)
	select {
	case <-g.Watches:
		t.Error("asked again unbidden")
	default:
	}
	asks <- struct{}{}
	await(t, "the second watch", g.Watches)
}

// serveAs answers every watch with a whole list of one version, said to be as fresh
// as read, and then holds it open.
func serveAs(t *testing.T, read string, seq int) (addr string, calls <-chan struct{}) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := make(chan struct{}, 100)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		c <- struct{}{}
		w.Header().Set(registry.ReadHeader, read)
		fmt.Fprintln(w, registrytest.ListJSON(seq, true))
		if q.URL.Query().Get("watch") != "" {
			w.(http.Flusher).Flush()
			<-q.Context().Done()
		}
	})}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	return ln.Addr().String(), c
}

// A replica that says it is stale is passed over while another is better, and
// followed where none is; one that is out of reach is passed over too.
func TestStaleReplicasAreTheLastResort(t *testing.T) {
	stale, _ := serveAs(t, registry.ReadStale+"; age_ms=9000", 7)
	other, _ := serveAs(t, registry.ReadStale+"; age_ms=8000", 7)
	current, _ := serveAs(t, registry.ReadCurrent+"; age_ms=1", 9)
	for name, x := range map[string]struct {
		addrs []string
		want  uint64
	}{
		"one is current":        {[]string{stale, other, current}, 9},
		"none is current":       {[]string{stale, other}, 7},
		"the only one":          {[]string{stale}, 7},
		"one is out of reach":   {[]string{"127.0.0.1:1", current}, 9},
		"stale or out of reach": {[]string{"127.0.0.1:1", stale}, 7},
	} {
		for seed := range uint64(4) { // each begins at another address
			news := make(chan ListUpdate, 100)
			w := NewWatcher(WatcherOptions{Addrs: x.addrs, Seed: seed, Deliver: func(l ListUpdate) { news <- l }})
			ctx, cancel := context.WithCancel(t.Context())
			var done sync.WaitGroup
			done.Go(func() { w.Follow(ctx) })
			if got := await(t, "a list", news); got.Seq != x.want {
				t.Errorf("%s, seed %d: version %d, want %d", name, seed, got.Seq, x.want)
			}
			cancel()
			done.Wait()
		}
	}
}

// A change that could not be read counts as told: where asking is the owner's, the whole
// list is called for without it. If that does not help the owner has the word.
func TestGapIsFilledWithoutTheOwner(t *testing.T) {
	g := registrytest.NewServer(t)
	asks, failed, news := make(chan struct{}, 1), make(chan struct{}, 10), make(chan ListUpdate, 10)
	d := NewWatcher(WatcherOptions{
		Addrs: []string{g.Addr}, LastKnown: &ListUpdate{Seq: 41, Full: true}, Deliver: func(l ListUpdate) { news <- l },
		Polls: asks, OnLoss: func(ListLoss) { failed <- struct{}{} },
	})
	go d.Follow(t.Context())
	asks <- struct{}{}
	await(t, "the watch", g.Watches).Lines <- `{"seq":42,"hosts":7}`
	await(t, "the call for the whole list", g.ListCalls)
	g.FullLists <- registrytest.ListJSON(45, true)
	if l := await(t, "the list", news); l.Seq != 45 || !l.Full {
		t.Errorf("delivered %+v", l)
	}
	w := await(t, "the next watch", g.Watches)
	if len(failed) > 0 {
		t.Error("the owner was told of a failure that was made good")
	}
	w.Lines <- `{"seq":46,"hosts":7}`
	await(t, "word that the call failed", failed)
	if len(g.ListCalls) > 0 {
		t.Error("the whole list was called for over and over")
	}
}

// Where the grace is short a watch is opened again within a part of it.
func TestReopeningKeepsToTheGrace(t *testing.T) {
	for grace, want := range map[time.Duration]time.Duration{
		0: maxReopenDelay, 10 * time.Second: maxReopenDelay, 900 * time.Millisecond: 300 * time.Millisecond, time.Millisecond: minReopenDelay,
	} {
		if got := NewWatcher(WatcherOptions{Addrs: []string{"127.0.0.1:1"}, Grace: grace}).maxDelay(); got != want {
			t.Errorf("grace %v: opened again within %v, want %v", grace, got, want)
		}
	}
}

// Where many ask at once the watch comes some time after the whole list, and a move ends the wait.
func TestWatchIsStaggeredBehindTheWholeList(t *testing.T) {
	old, fresh := registrytest.NewServer(t), registrytest.NewServer(t)
	news := make(chan ListUpdate, 10)
	d := NewWatcher(WatcherOptions{Addrs: []string{old.Addr}, MaxStagger: time.Hour, Deliver: func(l ListUpdate) { news <- l }})
	go d.Follow(t.Context())
	await(t, "the call", old.ListCalls)
	old.FullLists <- registrytest.ListJSON(7, true)
	await(t, "the list", news)
	d.SetAddrs([]string{fresh.Addr})
	await(t, "the call at the new address", fresh.ListCalls)
	if len(old.Watches) > 0 {
		t.Error("the watch was opened at once")
	}
}
