package overload

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

// digest is one of a sidecar's whose tenants asked so much in a second.
func digest(name string, seq uint64, jam float64, asked map[string]uint64) Digest {
	d := Digest{Fleet: "f", Name: name, Incarnation: 1, Seq: seq, PeriodMS: 1000, Congestion: jam}
	for _, t := range []string{"a", "b", "c"} {
		n := asked[t]
		d.Tenants = append(d.Tenants, TenantCounts{Tenant: t, Quota: map[string]float64{"a": 2, "b": 1, "c": 1}[t], Requests: n, InTime: n / 2, Refused: n - n/2})
	}
	return d
}

// plan has ten sidecars tell the same for some seconds.
func plan(t *testing.T, p *Planner, seconds int, jam float64, asked map[string]uint64) (a Advice) {
	t.Helper()
	for s := range seconds {
		now := time.Duration(p.number+1) * time.Second
		for i := range 10 {
			if err := p.AddDigest(now, digest(fmt.Sprint("n", i), p.number+1, jam, asked)); err != nil {
				t.Fatalf("second %d: %v", s, err)
			}
		}
		a = p.Plan(now)
		if err := a.Check(); err != nil {
			t.Fatal(err)
		}
	}
	return a
}

func TestTheGreedyOneIsCut(t *testing.T) {
	p := NewPlanner("f", 7)
	if a := plan(t, p, 3, 0.05, map[string]uint64{"a": 10, "b": 10, "c": 200}); len(a.Tenants) != 0 || a.Sidecars != 10 || a.Token != 7 || a.Rates != (Rates{Requests: 2200, InTime: 1100, Refused: 1100}) {
		t.Errorf("nothing jams: %+v", a)
	}
	a := plan(t, p, 10, 0.5, map[string]uint64{"a": 10, "b": 10, "c": 200})
	if a.FractionFor("a") != 1 || a.FractionFor("b") != 1 || a.FractionFor("c") > 0.6 || a.FractionFor("c") < minAdmitFraction {
		t.Errorf("c asks for twenty times b's: %+v", a.Tenants)
	}
	if a = plan(t, p, 30, 0.02, map[string]uint64{"a": 10, "b": 10, "c": 10}); len(a.Tenants) != 0 {
		t.Errorf("long after the jam: %+v", a)
	}
	// All ask for more in step: that is each sidecar's own to shed.
	for _, part := range plan(t, p, 10, 0.5, map[string]uint64{"a": 200, "b": 100, "c": 100}).Tenants {
		if part.AdmitFraction != 1 {
			t.Errorf("all ask for more: %+v", part)
		}
	}
	// Who has gone quiet counts no more, and nothing is said where nothing is known.
	now := time.Duration(p.number) * time.Second
	if a := p.Plan(now + AdviceTTL + time.Second); a.Sidecars != 0 || len(a.Tenants) != 0 || len(p.sidecars) != 0 {
		t.Errorf("nobody tells anything: %+v", a)
	}
}

func TestDivision(t *testing.T) {
	for name, tt := range map[string]struct {
		limit   float64
		asked   []float64
		allowed []float64
	}{
		"enough":           {100, []float64{10, 10, 10}, []float64{10, 10, 10}},
		"by shares":        {40, []float64{100, 100, 100}, []float64{20, 10, 10}},
		"what one leaves":  {40, []float64{4, 100, 100}, []float64{4, 18, 18}},
		"two leave, twice": {40, []float64{4, 17, 100}, []float64{4, 17, 19}},
		"nothing asked":    {40, []float64{0, 0, 0}, []float64{0, 0, 0}},
	} {
		var all []tenantLoad
		for i, a := range tt.asked {
			all = append(all, tenantLoad{name: string(rune('a' + i)), quota: []float64{2, 1, 1}[i], requestRate: a})
		}
		for i, p := range divideByQuota(tt.limit, all) {
			if math.Abs(p.AllowedRate-tt.allowed[i]) > 1e-9 || p.AdmitFraction > 1 || p.AdmitFraction < minAdmitFraction {
				t.Errorf("%s: %+v, want %v allowed", name, p, tt.allowed[i])
			}
		}
	}
}

func TestOnlyGoodDigestsAreTaken(t *testing.T) {
	p := NewPlanner("f", 1)
	good := digest("n", 5, 0.1, map[string]uint64{"a": 1})
	if err := p.AddDigest(0, good); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string]func(d *Digest){
		"later ones":    func(d *Digest) { d.Seq = 5 },
		"of fleet":      func(d *Digest) { d.Fleet = "g" },
		"jam is":        func(d *Digest) { d.Congestion = math.NaN() },
		"over_ms is":    func(d *Digest) { d.PeriodMS = 0 },
		"name or fleet": func(d *Digest) { d.Name = "" },
		"64 at most":    func(d *Digest) { d.Tenants = make([]TenantCounts, MaxTenants+1) },
		"share":         func(d *Digest) { d.Tenants = []TenantCounts{{Quota: math.Inf(1)}} },
	} {
		d := good
		d.Seq++
		change(&d)
		if err := p.AddDigest(0, d); !errors.Is(err, ErrBadMessage) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	later := good
	later.Incarnation, later.Seq = 2, 1
	if err := p.AddDigest(0, later); err != nil {
		t.Errorf("a later process of that name: %v", err)
	}
	for i := range MaxSidecars {
		err := p.AddDigest(0, digest(fmt.Sprint("x", i), 1, 0, nil))
		if (err != nil) != (i == MaxSidecars-1) {
			t.Fatalf("%d sidecars: %v", i+2, err)
		}
	}
}

func TestOnlyTheLatestWordIsTaken(t *testing.T) {
	taker := AdviceFilter{Fleet: "f"}
	word := func(token, number uint64) Advice {
		return Advice{Fleet: "f", Token: token, Number: number, ValidMS: 3000, Tenants: []TenantAdvice{{Tenant: "a", AdmitFraction: 0.5}}}
	}
	for i, tt := range []struct {
		a  Advice
		ok bool
	}{{word(3, 9), true}, {word(3, 9), false}, {word(3, 8), false}, {word(2, 100), false}, {word(4, 1), true}, {word(3, 10), false}, {word(4, 2), true}} {
		if err := taker.Accept(tt.a); (err == nil) != tt.ok {
			t.Errorf("%d: %v", i, err)
		}
	}
	for _, change := range []func(a *Advice){
		func(a *Advice) { a.Fleet = "g" }, func(a *Advice) { a.ValidMS = time.Hour.Milliseconds() }, func(a *Advice) { a.ValidMS = 0 },
		func(a *Advice) { a.Tenants[0].AdmitFraction = 1.5 }, func(a *Advice) { a.Tenants[0].AdmitFraction = math.NaN() }, func(a *Advice) { a.Tenants = make([]TenantAdvice, MaxTenants+1) },
	} {
		a := word(5, 1)
		change(&a)
		if err := taker.Accept(a); !errors.Is(err, ErrBadMessage) {
			t.Errorf("%+v: %v", a, err)
		}
	}
}

// BenchmarkPlan is a second's work of the task for a thousand sidecars.
func BenchmarkPlan(b *testing.B) {
	p := NewPlanner("f", 1)
	for seq := uint64(1); b.Loop(); seq++ {
		now := time.Duration(seq) * time.Second
		for i := range 1000 {
			if err := p.AddDigest(now, digest(fmt.Sprint("n", i), seq, 0.5, map[string]uint64{"a": 1, "b": 1, "c": 20})); err != nil {
				b.Fatal(err)
			}
		}
		p.Plan(now)
	}
}
