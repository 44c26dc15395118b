package overload

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

// digest returns a sidecar's digest of one second with these numbers of requests by tenant.
func digest(name string, seq uint64, congestion float64, requests map[string]uint64) Digest {
	d := Digest{Fleet: "f", Name: name, Incarnation: 1, Seq: seq, PeriodMS: 1000, Congestion: congestion}
	quotas := map[string]float64{"a": 2, "b": 1, "c": 1}
	for _, t := range []string{"a", "b", "c"} {
		n := requests[t]
		d.Tenants = append(d.Tenants, TenantCounts{Tenant: t, Quota: quotas[t], Requests: n, InTime: n / 2, Refused: n - n/2})
	}
	return d
}

// planFor has ten sidecars report the same load for some seconds, and returns the last advice.
func planFor(t *testing.T, p *Planner, seconds int, congestion float64, requests map[string]uint64) (a Advice) {
	t.Helper()
	for s := range seconds {
		now := time.Duration(p.number+1) * time.Second
		for i := range 10 {
			if err := p.AddDigest(now, digest(fmt.Sprint("n", i), p.number+1, congestion, requests)); err != nil {
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

func TestTenantFarAboveItsQuotaIsLimited(t *testing.T) {
	p := NewPlanner("f", 7)
	wantRates := Rates{Requests: 2200, InTime: 1100, Refused: 1100}
	if a := planFor(t, p, 3, 0.05, map[string]uint64{"a": 10, "b": 10, "c": 200}); len(a.Tenants) != 0 || a.Sidecars != 10 || a.Token != 7 || a.Rates != wantRates {
		t.Errorf("no congestion: got %+v, want no tenant limited, 10 sidecars, token 7, rates %+v", a, wantRates)
	}
	a := planFor(t, p, 10, 0.5, map[string]uint64{"a": 10, "b": 10, "c": 200})
	if a.FractionFor("a") != 1 || a.FractionFor("b") != 1 || a.FractionFor("c") > 0.6 || a.FractionFor("c") < minAdmitFraction {
		t.Errorf("c requests 20 times as much as b: got %+v, want only c limited", a.Tenants)
	}
	if a = planFor(t, p, 30, 0.02, map[string]uint64{"a": 10, "b": 10, "c": 10}); len(a.Tenants) != 0 {
		t.Errorf("long after the congestion: got %+v, want no tenant limited", a)
	}
	// An overload to which all tenants contribute equally is left to the sidecars.
	for _, tenant := range planFor(t, p, 10, 0.5, map[string]uint64{"a": 200, "b": 100, "c": 100}).Tenants {
		if tenant.AdmitFraction != 1 {
			t.Errorf("overload by all tenants: got %+v, want fraction 1", tenant)
		}
	}
	// Sidecars that no longer report don't count, and without digests no tenant is limited.
	now := time.Duration(p.number) * time.Second
	if a := p.Plan(now + AdviceTTL + time.Second); a.Sidecars != 0 || len(a.Tenants) != 0 || len(p.sidecars) != 0 {
		t.Errorf("no sidecar reports: got %+v, %d sidecars tracked, want none", a, len(p.sidecars))
	}
}

func TestDivideByQuota(t *testing.T) {
	for name, tt := range map[string]struct {
		limit   float64
		asked   []float64
		allowed []float64
	}{
		"enough":        {100, []float64{10, 10, 10}, []float64{10, 10, 10}},
		"by quotas":     {40, []float64{100, 100, 100}, []float64{20, 10, 10}},
		"one uses less": {40, []float64{4, 100, 100}, []float64{4, 18, 18}},
		"two use less":  {40, []float64{4, 17, 100}, []float64{4, 17, 19}},
		"no requests":   {40, []float64{0, 0, 0}, []float64{0, 0, 0}},
	} {
		var tenants []tenantLoad
		for i, rate := range tt.asked {
			tenants = append(tenants, tenantLoad{name: string(rune('a' + i)), quota: []float64{2, 1, 1}[i], requestRate: rate})
		}
		for i, a := range divideByQuota(tt.limit, tenants) {
			if math.Abs(a.AllowedRate-tt.allowed[i]) > 1e-9 || a.AdmitFraction > 1 || a.AdmitFraction < minAdmitFraction {
				t.Errorf("%s: got %+v, want %v allowed", name, a, tt.allowed[i])
			}
		}
	}
}

func TestInvalidDigestsAreRejected(t *testing.T) {
	p := NewPlanner("f", 1)
	good := digest("n", 5, 0.1, map[string]uint64{"a": 1})
	if err := p.AddDigest(0, good); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string]func(d *Digest){
		"later digest":  func(d *Digest) { d.Seq = 5 },
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
		if err := p.AddDigest(0, d); !errors.Is(err, ErrInvalidMessage) || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want %v with %q", err, ErrInvalidMessage, want)
		}
	}
	later := good
	later.Incarnation, later.Seq = 2, 1
	if err := p.AddDigest(0, later); err != nil {
		t.Errorf("a later incarnation: got error %v, want none", err)
	}
	for i := range MaxSidecars {
		err := p.AddDigest(0, digest(fmt.Sprint("x", i), 1, 0, nil))
		if full := i == MaxSidecars-1; (err != nil) != full {
			t.Fatalf("sidecar %d: got error %v, want one: %v", i+2, err, full)
		}
	}
}

func TestOnlyLatestAdviceIsAccepted(t *testing.T) {
	filter := AdviceFilter{Fleet: "f"}
	advice := func(token, number uint64) Advice {
		return Advice{Fleet: "f", Token: token, Number: number, ValidMS: 3000, Tenants: []TenantAdvice{{Tenant: "a", AdmitFraction: 0.5}}}
	}
	for i, tt := range []struct {
		advice Advice
		want   bool
	}{
		{advice(3, 9), true},
		{advice(3, 9), false},
		{advice(3, 8), false},
		{advice(2, 100), false},
		{advice(4, 1), true},
		{advice(3, 10), false},
		{advice(4, 2), true},
	} {
		if err := filter.Accept(tt.advice); (err == nil) != tt.want {
			t.Errorf("advice %d: got error %v, want it accepted: %v", i, err, tt.want)
		}
	}
	for _, change := range []func(a *Advice){
		func(a *Advice) { a.Fleet = "g" },
		func(a *Advice) { a.ValidMS = time.Hour.Milliseconds() },
		func(a *Advice) { a.ValidMS = 0 },
		func(a *Advice) { a.Tenants[0].AdmitFraction = 1.5 },
		func(a *Advice) { a.Tenants[0].AdmitFraction = math.NaN() },
		func(a *Advice) { a.Tenants = make([]TenantAdvice, MaxTenants+1) },
	} {
		a := advice(5, 1)
		change(&a)
		if err := filter.Accept(a); !errors.Is(err, ErrInvalidMessage) {
			t.Errorf("%+v: got error %v, want %v", a, err, ErrInvalidMessage)
		}
	}
}

// BenchmarkPlan measures the controller's work for one second of digests from a thousand sidecars.
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
