package settings

import (
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	"barleywick/policy"
)

func TestDurationFromMillis(t *testing.T) {
	for _, d := range []time.Duration{0, time.Microsecond, 123456 * time.Microsecond, -time.Second, time.Hour} {
		if got := DurationFromMillis(float64(d) / 1e6); got != d {
			t.Errorf("got %v, want %v", got, d)
		}
	}
	if DurationFromMillis(math.NaN()) != 0 || DurationFromMillis(math.Inf(1)) <= 0 || DurationFromMillis(math.Inf(-1)) >= 0 {
		t.Error("got an unusable duration, want 0 for NaN and a duration of the same sign for an infinite number")
	}
}

const someSettings = `balancers=3
caps.may_cancel=true
caps.most_tries=3
caps.probes=true
caps.retry_after=false
charges.cross_zone=0.03
classes.count=2
classes.0.aim_ms=500.0
classes.0.dedup_scope=cell
classes.0.hard_limit_ms=1000.0
classes.0.semantics=guarded
classes.0.window_ms=600.0
classes.0.worth=5.0
classes.1.aim_ms=600.0
classes.1.hard_limit_ms=2500.0
classes.1.semantics=a_word_of_a_later_version
discovery=ask
family_info.warm_keys=true
orgs.count=1
orgs.0.quota_per_s=342.0
orgs.0.share=0.79
rules.cold_from=0.32
some.key.of.a.later.version=x=y
telemetry.columns=failed_ps,svc_ms,served_ps,busy_reqs
telemetry.how=pull
zone=2
`

func TestSettings(t *testing.T) {
	s, err := ParseLines([]byte(someSettings))
	if err != nil {
		t.Fatal(err)
	}
	c, err := s.PolicyConfig()
	if err != nil {
		t.Fatal(err)
	}
	if c.Balancers != 3 || c.Zone != 2 || c.MaxAttempts != 3 || !c.MayCancel || !c.MayProbe ||
		!c.PollList || c.SlowStartFloor != 0.32 || c.CrossZoneCost != 0.03 {
		t.Errorf("got config %+v, want the values of the settings above", c)
	}
	if k := c.Classes[0]; k.Idempotency != policy.IdempotentByKey || k.DedupScope != policy.ScopeCell || k.DedupWindow != 600*time.Millisecond {
		t.Errorf("got class 0 %+v, want idempotent by key, scope cell, window 600ms", k)
	}
	if c.Classes[1].Idempotency != policy.NonIdempotent {
		t.Error("unknown semantics: got a class that is not non-idempotent, want the strictest semantics")
	}
	if c.Tenants[0].Quota != 342 || c.Tenants[0].Share != 0.79 {
		t.Errorf("got tenant %+v, want quota 342 and share 0.79", c.Tenants[0])
	}
	if !c.KeyAffinity {
		t.Error("got no key affinity, want it as by warm_keys")
	}
	if got := s.LoadColumns(); len(got) != 4 || got[3] != "busy_reqs" {
		t.Errorf("got columns %+v, want 4 with busy_reqs last", got)
	}
	for _, bad := range []string{"balancers=three", "classes.count=-1", "classes.count=1e9", "orgs.count=1.5"} {
		s, err := ParseLines([]byte(bad))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.PolicyConfig(); err == nil {
			t.Errorf("%s: got no error, want one", bad)
		}
	}
	if _, err := ParseLines([]byte("no equals sign")); err == nil {
		t.Error("a line without '=': got no error, want one")
	}
}

// The same settings give the same configuration in both formats.
func TestJSONAndLinesAgree(t *testing.T) {
	s, err := ParseJSON([]byte(`{"balancers":3,"family_info":{"warm_keys":true},"caps":{"may_cancel":true,"most_tries":3,"probes":true,"retry_after":false},
		"charges":{"cross_zone":0.03},"classes":[{"name":"a b","aim_ms":500.0,"dedup_scope":"cell","hard_limit_ms":1000.0,
		"semantics":"guarded","window_ms":600.0,"worth":5.0},{"name":"c","aim_ms":600.0,"hard_limit_ms":2500.0,
		"semantics":"a_word_of_a_later_version"}],"discovery":"ask","orgs":[{"quota_per_s":342.0,"share":0.79}],
		"rules":{"cold_from":0.32},"some":{"key":[null,[1],{"x":null}]},
		"telemetry":{"columns":["failed_ps","svc_ms","served_ps","busy_reqs"],"how":"pull"},"zone":2}`))
	if err != nil {
		t.Fatal(err)
	}
	got, err := s.PolicyConfig()
	if err != nil {
		t.Fatal(err)
	}
	lines, err := ParseLines([]byte(someSettings))
	if err != nil {
		t.Fatal(err)
	}
	want, err := lines.PolicyConfig()
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v from JSON, want %+v as from lines", got, want)
	}
	if names := s.Names("classes"); !slices.Equal(names, []string{"a b", "c"}) {
		t.Errorf("got classes %q, want 'a b' and 'c'", names)
	}
	if c := s.LoadColumns(); !slices.Equal(c, lines.LoadColumns()) || s.Values("none") != nil {
		t.Errorf("got columns %q from JSON, want %q as from lines", c, lines.LoadColumns())
	}
	for _, bad := range []string{"", "[]", `{"balancers":`, "7"} {
		if _, err := ParseJSON([]byte(bad)); err == nil {
			t.Errorf("%q: got no error, want one", bad)
		}
	}
}

// Guards against ignoring data after the settings, such as a second object left by a merge: only the first
// JSON value was read.
func TestDataAfterTheSettingsIsRejected(t *testing.T) {
	for _, text := range []string{`{"zones":["a"]}{"zones":["b"]}`, `{"zones":["a"]} x`, `{"zones":["a"]}]`} {
		if _, err := ParseJSON([]byte(text)); err == nil {
			t.Errorf("%s: got no error, want one about the data after the object", text)
		}
	}
	if _, err := ParseJSON([]byte(`{"zones":["a"]}` + "\n ")); err != nil {
		t.Errorf("white space at the end: got error %v, want none", err)
	}
}
