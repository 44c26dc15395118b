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
	grace = Grace{FirstByte: 50 * time.Millisecond, CompleteRequest: 200 * time.Millisecond}
)

func addr(n int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, byte(n >> 8), byte(n)}) }

// open opens a connection as the table's caller does, closing the connections to evict. It returns nil
// if the connection has to wait.
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

// serveRequest reports one complete request on a connection, which is idle afterwards.
func serveRequest(t *table, c *conn, now time.Time) {
	t.FirstByteRead(c, now)
	t.HeaderRead(c)
	t.RequestStarted(c, now)
	t.BecameIdle(c, now)
}

func limits(total int) Limits {
	return Limits{Total: total, PerAddress: total, HalfOpen: total, Idle: total}
}

// A single client may use the whole capacity. When others connect, each gets an even share, and the first
// client cannot evict their connections.
func TestCapacityAboveFairShareIsReclaimed(t *testing.T) {
	const total, others = 100, 9
	tb := New[int](limits(total), grace)
	for range 3 * total {
		if c := open(tb, 0, start); c != nil {
			serveRequest(tb, c, start)
		}
	}
	if got := tb.OpenFrom(addr(0)); got != total {
		t.Fatalf("single client: got %d connections, want all %d", got, total)
	}
	for round := range 20 {
		for m := 1; m <= others; m++ {
			if c := open(tb, m, start); c != nil {
				serveRequest(tb, c, start)
			} else if tb.OpenFrom(addr(m)) < total/(others+1) {
				t.Fatalf("round %d: client %d waits with only %d connections", round, m, tb.OpenFrom(addr(m)))
			}
		}
		if c := open(tb, 0, start); c != nil {
			serveRequest(tb, c, start)
		}
	}
	for m := range others + 1 {
		if got := tb.OpenFrom(addr(m)); got != total/(others+1) {
			t.Errorf("client %d: got %d connections, want %d", m, got, total/(others+1))
		}
	}
}

// The unused part of a client's share is available to others.
func TestUnusedSharesAreAvailable(t *testing.T) {
	tb := New[int](limits(30), grace)
	for _, want := range []struct{ from, n int }{{1, 2}, {2, 5}, {3, 100}} {
		for range want.n {
			if c := open(tb, want.from, start); c != nil {
				serveRequest(tb, c, start)
			}
		}
	}
	if a, b, c := tb.OpenFrom(addr(1)), tb.OpenFrom(addr(2)), tb.OpenFrom(addr(3)); a != 2 || b != 5 || c != 23 {
		t.Errorf("got %d, %d and %d connections, want 2, 5 and 23", a, b, c)
	}
}

func TestConnectionsInUseAreNotEvicted(t *testing.T) {
	tb := New[int](limits(4), grace)
	var held []*conn
	for range 4 {
		c := open(tb, 0, start)
		tb.FirstByteRead(c, start)
		tb.RequestStarted(c, start)
		held = append(held, c)
	}
	if c := open(tb, 1, start.Add(time.Hour)); c != nil {
		t.Fatal("a connection was admitted while all others are in use")
	}
	tb.BecameIdle(held[2], start)
	if c := open(tb, 1, start); c == nil || held[2].state != notInTable {
		t.Error("the idle connection of the address with the most connections was not evicted")
	}
}

// A connection that stays silent, or stops within a request, is evicted after its grace period, regardless
// of its client. Until then no idle connection of the same client is evicted for a new one.
func TestGrace(t *testing.T) {
	for name, c := range map[string]struct {
		receives bool
		after    time.Duration
	}{"silent": {false, grace.FirstByte}, "half a request": {true, grace.CompleteRequest}} {
		t.Run(name, func(t *testing.T) {
			tb := New[int](limits(2), grace)
			kept := open(tb, 0, start)
			serveRequest(tb, kept, start)
			late := open(tb, 0, start)
			if c.receives {
				tb.FirstByteRead(late, start)
				tb.HeaderRead(late)
			}
			if got := tb.NextOverdue(); !got.Equal(start.Add(c.after)) {
				t.Errorf("got overdue at %v, want %v after the start", got, c.after)
			}
			if open(tb, 0, start.Add(c.after-1)) != nil {
				t.Error("a connection was admitted within the grace period")
			}
			if open(tb, 0, start.Add(c.after)) == nil || late.state != notInTable || kept.state != idle {
				t.Error("the overdue connection was not evicted, or the idle one was")
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
		t.Error("a connection was admitted beyond the limit of its address")
	}
	if open(tb, 1, start) == nil || open(tb, 1, start) != nil || tb.HalfOpen() != 4 {
		t.Errorf("got %d half-open connections, want 4", tb.HalfOpen())
	}
	tb.FirstByteRead(first, start)
	tb.HeaderRead(first) // its body may be incomplete, but it is no longer half open
	if open(tb, 1, start) == nil {
		t.Error("no connection was admitted after a header was complete")
	}
	serveRequest(tb, first, start)
	if v, _ := tb.Decide(addr(0), start); v != Wait {
		t.Errorf("got verdict %v, want Wait while other connections of its address are new", v)
	}
	serveRequest(tb, own[1], start)
	serveRequest(tb, own[2], start)
	if v, victim := tb.Decide(addr(0), start); v != Evict || victim != first {
		t.Errorf("got verdict %v, want eviction of an idle connection of its own address at the limit", v)
	}
}

func TestExcessIdle(t *testing.T) {
	tb := New[int](Limits{Total: 10, PerAddress: 10, HalfOpen: 10, Idle: 3}, grace)
	var conns []*conn
	for _, from := range []int{0, 1, 1, 1} {
		c := open(tb, from, start)
		serveRequest(tb, c, start)
		conns = append(conns, c)
	}
	if got := tb.ExcessIdle(); got != conns[1] {
		t.Error("got a connection that is not the longest idle one of the address with the most connections")
	}
	tb.Remove(conns[1])
	if tb.ExcessIdle() != nil {
		t.Error("got an excess connection at the limit, want none")
	}
	tb.SetLimits(Limits{Total: 1, PerAddress: 1, HalfOpen: 1, Idle: 1})
	for tb.ExcessIdle() != nil {
		tb.Remove(tb.ExcessIdle())
	}
	if tb.Open() != 1 {
		t.Errorf("got %d open connections after the limit was lowered to 1, want 1", tb.Open())
	}
}

// tableModel performs random operations on a Table and tracks the expected states of the connections.
type tableModel struct {
	t       *testing.T
	rng     *rand.Rand
	limits  Limits
	table   *table
	clients int
	states  map[*conn]state
	now     time.Time
}

func newTableModel(t *testing.T, seed uint64) *tableModel {
	rng := rand.New(rand.NewPCG(seed, 0))
	limits := Limits{Total: 5 + rng.IntN(80)}
	limits.PerAddress, limits.HalfOpen, limits.Idle = 1+rng.IntN(limits.Total), 1+rng.IntN(limits.Total), 1+rng.IntN(limits.Total)
	return &tableModel{
		t: t, rng: rng, limits: limits, table: New[int](limits, grace), clients: 1 + rng.IntN(12),
		states: make(map[*conn]state), now: start,
	}
}

// pick returns a connection in the given state, or nil.
func (m *tableModel) pick(in state) *conn {
	for c, s := range m.states { // the checks don't depend on the map's order
		if s == in {
			return c
		}
	}
	return nil
}

// step performs one random operation.
func (m *tableModel) step() {
	m.now = m.now.Add(time.Duration(m.rng.IntN(20)) * time.Millisecond)
	switch m.rng.IntN(8) {
	case 0, 1, 2:
		m.connect(m.rng.IntN(m.clients))
	case 3:
		m.receive(m.pick(silent))
	case 4:
		if c := m.pick(readingRequest); c != nil {
			m.table.HeaderRead(c)
			m.table.RequestStarted(c, m.now)
			m.states[c] = serving
		}
	case 5:
		if c := m.pick(serving); c != nil {
			m.table.BecameIdle(c, m.now)
			m.states[c] = idle
		}
		for c := m.table.ExcessIdle(); c != nil; c = m.table.ExcessIdle() {
			m.remove(c)
		}
	case 6:
		m.receive(m.pick(idle))
	case 7:
		if c := m.pick(state(1 + m.rng.IntN(4))); c != nil {
			m.remove(c)
			m.table.Remove(c) // removing it again has no effect
		}
	}
}

// connect opens a connection if the table admits it, after evictions if necessary.
func (m *tableModel) connect(from int) {
	for {
		switch verdict, victim := m.table.Decide(addr(from), m.now); verdict {
		case Evict:
			if m.states[victim] == serving || m.states[victim] == notInTable {
				m.t.Fatal("the table evicts a connection that is in use or unknown")
			}
			m.remove(victim)
		case Admit:
			c := &conn{Owner: from}
			m.table.Add(c, addr(from), m.now)
			m.states[c] = silent
			return
		case Wait:
			m.checkWait(from)
			return
		}
	}
}

// checkWait checks that a client below its even share waits only if no client with more connections has an
// idle one.
func (m *tableModel) checkWait(from int) {
	held := make(map[int]int)
	for c := range m.states {
		held[c.Owner]++
	}
	largest := 0
	for c, s := range m.states {
		if s == idle {
			largest = max(largest, held[c.Owner])
		}
	}
	own := held[from]
	if own < m.limits.PerAddress && len(m.states) >= m.limits.Total && largest >= own+2 {
		m.t.Fatalf("a client with %d connections waits while one with %d has an idle connection", own, largest)
	}
}

func (m *tableModel) receive(c *conn) {
	if c != nil {
		m.table.FirstByteRead(c, m.now)
		m.states[c] = readingRequest
	}
}

func (m *tableModel) remove(c *conn) {
	delete(m.states, c)
	m.table.Remove(c)
}

// check compares the table with the model, and both with the limits.
func (m *tableModel) check() {
	counts := make(map[state]int)
	for c, s := range m.states {
		counts[s]++
		if c.state != s {
			m.t.Fatalf("got state %v, want %v", c.state, s)
		}
	}
	halfOpen := counts[silent] + counts[readingRequest]
	if m.table.Open() != len(m.states) || m.table.Idle() != counts[idle] || m.table.HalfOpen() != halfOpen {
		m.t.Fatalf("got %d open, %d idle, %d half open; want %d, %d, %d", m.table.Open(), m.table.Idle(), m.table.HalfOpen(),
			len(m.states), counts[idle], halfOpen)
	}
	if len(m.states) > m.limits.Total || counts[idle] > m.limits.Idle {
		m.t.Fatalf("%d open and %d idle exceed the limits %+v", len(m.states), counts[idle], m.limits)
	}
}

// After any sequence of operations the table agrees with a simple model and keeps its limits, no connection
// in use is evicted, and no client below its even share waits while a client with more connections has an
// idle one.
func TestRandomEventsAgainstAModel(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := newTableModel(t, seed)
			for range 4000 {
				m.step()
				m.check()
			}
			for c := range m.states {
				m.table.Remove(c)
			}
			if len(m.table.clients) != 0 || m.table.Open() != 0 || m.table.holders.largest() != nil {
				t.Error("the table keeps state of removed connections")
			}
		})
	}
}

// The time of an operation does not grow with the number of connections.
func BenchmarkEvict(b *testing.B) {
	for _, n := range []int{100, 10_000, 200_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tb := New[int](limits(n), grace)
			for i := range n {
				serveRequest(tb, open(tb, i%200, start), start)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if c := open(tb, 200+i%100, start); c != nil {
					serveRequest(tb, c, start)
				}
			}
		})
	}
}
