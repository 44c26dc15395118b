package admission

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

type (
	table = Table[int]
	conn  = Conn[int]
)

var (
	start = time.Unix(1_700_000_000, 0)
	grace = Grace{FirstByte: 50 * time.Millisecond, WholeRequest: 200 * time.Millisecond}
)

func addr(n int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, byte(n >> 8), byte(n)}) }

// open asks for a place as the owner does, closing what it is told to, and says
// whether there was one.
func open(t *table, from int, now time.Time) *conn {
	for {
		switch verdict, victim := t.Decide(addr(from), now); verdict {
		case Admit:
			c := &conn{Owner: from}
			t.Add(c, addr(from), now)
			return c
		case Evict:
			t.Remove(victim)
		case Wait:
			return nil
		}
	}
}

// rest takes a connection through one request.
func rest(t *table, c *conn, now time.Time) {
	t.FirstByteRead(c, now)
	t.HeaderRead(c)
	t.RequestStarted(c, now)
	t.BecameIdle(c, now)
}

func limits(total int) Limits {
	return Limits{Total: total, PerAddress: total, HalfOpen: total, Idle: total}
}

// One client may take all places while nobody else wants any. Modest ones get
// theirs back from it to the last one of an even part, and it gets none of those.
func TestLentPlacesAreTakenBack(t *testing.T) {
	const total, modest = 100, 9
	tb := New[int](limits(total), grace)
	for range 3 * total {
		if c := open(tb, 0, start); c != nil {
			rest(tb, c, start)
		}
	}
	if got := tb.OpenFrom(addr(0)); got != total {
		t.Fatalf("alone, the greedy one holds %d, want all %d", got, total)
	}
	for round := range 20 {
		for m := 1; m <= modest; m++ {
			if c := open(tb, m, start); c != nil {
				rest(tb, c, start)
			} else if tb.OpenFrom(addr(m)) < total/(modest+1) {
				t.Fatalf("round %d: client %d is turned away with %d", round, m, tb.OpenFrom(addr(m)))
			}
		}
		if c := open(tb, 0, start); c != nil {
			rest(tb, c, start)
		}
	}
	for m := range modest + 1 {
		if got := tb.OpenFrom(addr(m)); got != total/(modest+1) {
			t.Errorf("client %d holds %d, want %d", m, got, total/(modest+1))
		}
	}
}

// A client that wants less than its share leaves the rest to be lent.
func TestUnusedSharesAreLent(t *testing.T) {
	tb := New[int](limits(30), grace)
	for _, want := range []struct{ from, n int }{{1, 2}, {2, 5}, {3, 100}} {
		for range want.n {
			if c := open(tb, want.from, start); c != nil {
				rest(tb, c, start)
			}
		}
	}
	if a, b, c := tb.OpenFrom(addr(1)), tb.OpenFrom(addr(2)), tb.OpenFrom(addr(3)); a != 2 || b != 5 || c != 23 {
		t.Errorf("held %d, %d and %d, want 2, 5 and 23", a, b, c)
	}
}

func TestTakenRequestsKeepTheirPlace(t *testing.T) {
	tb := New[int](limits(4), grace)
	var held []*conn
	for range 4 {
		c := open(tb, 0, start)
		tb.FirstByteRead(c, start)
		tb.RequestStarted(c, start)
		held = append(held, c)
	}
	if c := open(tb, 1, start.Add(time.Hour)); c != nil {
		t.Fatal("a place was found where all requests are taken")
	}
	tb.BecameIdle(held[2], start)
	if c := open(tb, 1, start); c == nil || held[2].state != absent {
		t.Error("the idle connection of the client with the most was not given up")
	}
}

// Who says nothing, or stops in the middle, loses the place after a grace, whosever
// it is; before, no idle connection of the same client makes way for a newcomer.
func TestGraces(t *testing.T) {
	for name, c := range map[string]struct {
		speaks bool
		after  time.Duration
	}{"silent": {false, grace.FirstByte}, "half a request": {true, grace.WholeRequest}} {
		t.Run(name, func(t *testing.T) {
			tb := New[int](limits(2), grace)
			kept := open(tb, 0, start)
			rest(tb, kept, start)
			late := open(tb, 0, start)
			if c.speaks {
				tb.FirstByteRead(late, start)
				tb.HeaderRead(late)
			}
			if got := tb.NextOverdue(); !got.Equal(start.Add(c.after)) {
				t.Errorf("overdue at %v, want after %v", got, c.after)
			}
			if open(tb, 0, start.Add(c.after-1)) != nil {
				t.Error("a place was found within the grace")
			}
			if open(tb, 0, start.Add(c.after)) == nil || late.state != absent || kept.state != idle {
				t.Error("the late one did not make way, or the kept one did")
			}
		})
	}
}

func TestHalfOpenAndPerAddressLimits(t *testing.T) {
	tb := New[int](Limits{Total: 10, PerAddress: 3, HalfOpen: 4, Idle: 10}, grace)
	var own []*conn
	for range 3 {
		own = append(own, open(tb, 0, start))
	}
	first := own[0]
	if open(tb, 0, start) != nil {
		t.Error("an address got more than its limit")
	}
	if open(tb, 1, start) == nil || open(tb, 1, start) != nil || tb.HalfOpen() != 4 {
		t.Errorf("%d are half open, want 4", tb.HalfOpen())
	}
	tb.FirstByteRead(first, start)
	tb.HeaderRead(first) // its body may be to come, but it is not half open
	if open(tb, 1, start) == nil {
		t.Error("a whole header left no room")
	}
	rest(tb, first, start)
	if v, _ := tb.Decide(addr(0), start); v != Wait {
		t.Errorf("verdict %v, want it to wait while its own have just come", v)
	}
	rest(tb, own[1], start)
	rest(tb, own[2], start)
	if v, victim := tb.Decide(addr(0), start); v != Evict || victim != first {
		t.Errorf("verdict %v, want its own idle connection to make way at its limit", v)
	}
}

func TestExcess(t *testing.T) {
	tb := New[int](Limits{Total: 10, PerAddress: 10, HalfOpen: 10, Idle: 3}, grace)
	var conns []*conn
	for _, from := range []int{0, 1, 1, 1} {
		c := open(tb, from, start)
		rest(tb, c, start)
		conns = append(conns, c)
	}
	if got := tb.ExcessIdle(); got != conns[1] {
		t.Error("not the longest idle of the client with the most")
	}
	tb.Remove(conns[1])
	if tb.ExcessIdle() != nil {
		t.Error("an excess at the limit")
	}
	tb.SetLimits(Limits{Total: 1, PerAddress: 1, HalfOpen: 1, Idle: 1})
	for tb.ExcessIdle() != nil {
		tb.Remove(tb.ExcessIdle())
	}
	if tb.Open() != 1 {
		t.Errorf("%d are open at a new limit of 1", tb.Open())
	}
}

// Whatever happens, the table agrees with a plain count, keeps its limits and
// the two promises: no taken request loses its place, and no client below an
// even share is turned away while one above it has an idle connection.
func TestRandomEventsAgainstAModel(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			lim := Limits{Total: 5 + rng.IntN(80), PerAddress: 0, HalfOpen: 0, Idle: 0}
			lim.PerAddress, lim.HalfOpen, lim.Idle = 1+rng.IntN(lim.Total), 1+rng.IntN(lim.Total), 1+rng.IntN(lim.Total)
			tb, clients := New[int](lim, grace), 1+rng.IntN(12)
			model := make(map[*conn]state)
			now := start
			pick := func(in state) *conn {
				for c, s := range model { // the order does not matter to what is checked
					if s == in {
						return c
					}
				}
				return nil
			}
			for range 4000 {
				now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
				switch rng.IntN(8) {
				case 0, 1, 2:
					from := rng.IntN(clients)
					for done := false; !done; {
						v, victim := tb.Decide(addr(from), now)
						switch v {
						case Evict:
							if model[victim] == serving || model[victim] == absent {
								t.Fatal("a taken or unknown connection is to be given up")
							}
							delete(model, victim)
							tb.Remove(victim)
						case Admit:
							c := &conn{Owner: from}
							tb.Add(c, addr(from), now)
							model[c] = silent
							done = true
						case Wait:
							done = true
							richest, mine := 0, 0
							held := make(map[int]int)
							for c := range model {
								held[c.Owner]++
							}
							for c, s := range model {
								if s == idle {
									richest = max(richest, held[c.Owner])
								}
							}
							mine = held[from]
							if mine < lim.PerAddress && len(model) >= lim.Total && richest >= mine+2 {
								t.Fatalf("turned away with %d while one with %d has an idle connection", mine, richest)
							}
						}
					}
				case 3:
					if c := pick(silent); c != nil {
						tb.FirstByteRead(c, now)
						model[c] = readingRequest
					}
				case 4:
					if c := pick(readingRequest); c != nil {
						tb.HeaderRead(c)
						tb.RequestStarted(c, now)
						model[c] = serving
					}
				case 5:
					if c := pick(serving); c != nil {
						tb.BecameIdle(c, now)
						model[c] = idle
					}
					for c := tb.ExcessIdle(); c != nil; c = tb.ExcessIdle() {
						delete(model, c)
						tb.Remove(c)
					}
				case 6:
					if c := pick(idle); c != nil {
						tb.FirstByteRead(c, now)
						model[c] = readingRequest
					}
				case 7:
					if c := pick(state(1 + rng.IntN(4))); c != nil {
						tb.Remove(c)
						tb.Remove(c)
						delete(model, c)
					}
				}
				counts := make(map[state]int)
				for c, s := range model {
					counts[s]++
					if c.state != s {
						t.Fatalf("state %v, want %v", c.state, s)
					}
				}
				if tb.Open() != len(model) || tb.Idle() != counts[idle] || tb.HalfOpen() != counts[silent]+counts[readingRequest] {
					t.Fatalf("open %d, idle %d, half open %d; want %d, %d, %d", tb.Open(), tb.Idle(), tb.HalfOpen(),
						len(model), counts[idle], counts[silent]+counts[readingRequest])
				}
				if len(model) > lim.Total || counts[idle] > lim.Idle {
					t.Fatalf("%d open and %d idle, over the limits %+v", len(model), counts[idle], lim)
				}
			}
			for c := range model {
				tb.Remove(c)
			}
			if len(tb.clients) != 0 || tb.Open() != 0 || tb.holders.largest() != nil {
				t.Error("something is left of connections that have ended")
			}
		})
	}
}

// The time of an operation does not grow with the number of connections.
func BenchmarkReplace(b *testing.B) {
	for _, n := range []int{100, 10_000, 200_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tb := New[int](limits(n), grace)
			for i := range n {
				rest(tb, open(tb, i%200, start), start)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if c := open(tb, 200+i%100, start); c != nil {
					rest(tb, c, start)
				}
			}
		})
	}
}
