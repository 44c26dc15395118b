package settings

import (
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"barleywick/policy"
)

func TestMillis(t *testing.T) {
	for _, d := range []time.Duration{0, time.Microsecond, 123456 * time.Microsecond, -time.Second, time.Hour} {
		if got := DurationFromMillis(float64(d) / 1e6); got != d {
			t.Errorf("%v comes back as %v", d, got)
		}
	}
	if DurationFromMillis(math.NaN()) != 0 || DurationFromMillis(math.Inf(1)) <= 0 || DurationFromMillis(math.Inf(-1)) >= 0 {
		t.Error("what is no number, or infinite, is not cut to a safe duration")
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
		t.Errorf("config %+v", c)
	}
	if k := c.Classes[0]; k.Idempotency != policy.IdempotentByKey || k.DedupScope != policy.ScopeCell || k.DedupWindow != 600*time.Millisecond {
		t.Errorf("class 0 %+v", k)
	}
	if c.Classes[1].Idempotency != policy.NonIdempotent {
		t.Error("an unknown effect is not taken for the strictest")
	}
	if c.Tenants[0].Quota != 342 || c.Tenants[0].Share != 0.79 {
		t.Errorf("tenant %+v", c.Tenants[0])
	}
	if !c.KeyAffinity {
		t.Error("that servers remember keys is not read")
	}
	if got := s.LoadColumns(); len(got) != 4 || got[3] != "busy_reqs" {
		t.Errorf("columns %+v", got)
	}
	for _, bad := range []string{"balancers=three", "classes.count=-1", "classes.count=1e9", "orgs.count=1.5"} {
		s, err := ParseLines([]byte(bad))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.PolicyConfig(); err == nil {
			t.Errorf("%s: no error", bad)
		}
	}
	if _, err := ParseLines([]byte("no equals sign")); err == nil {
		t.Error("a line without '=': no error")
	}
}

// Both forms of the same settings give the same configuration.
func TestJSONGivesTheSame(t *testing.T) {
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
		t.Errorf("JSON gives %+v, lines give %+v", got, want)
	}
	if names := s.Names("classes"); !slices.Equal(names, []string{"a b", "c"}) {
		t.Errorf("classes %q", names)
	}
	if c := s.LoadColumns(); !slices.Equal(c, lines.LoadColumns()) || s.Values("none") != nil {
		t.Errorf("columns %q in JSON, %q in lines", c, lines.LoadColumns())
	}
	for _, bad := range []string{"", "[]", `{"balancers":`, "7"} {
		if _, err := ParseJSON([]byte(bad)); err == nil {
			t.Errorf("%q: no error", bad)
		}
	}
}

// Guards against this: the servers report what waits and not what they hold, and all their reports say nothing.
func TestLoadTakesEveryKnownColumn(t *testing.T) {
	columns := LoadColumns{"pending", "cpu_share", "served_ps", "svc_ms"}
	for _, tt := range []struct {
		name   string
		values []float64
		want   policy.LoadReport
	}{
		{"all", []float64{3, 0.5, 20, 7}, policy.LoadReport{InFlight: -1, Queued: 3, Utilization: 0.5, ServedPerSecond: 20}},
		{"cut short", []float64{3}, policy.LoadReport{InFlight: -1, Queued: 3, Utilization: -1, ServedPerSecond: -1}},
		{"unusable", []float64{math.NaN(), -1, math.Inf(1)}, policy.UnknownLoad},
	} {
		got := columns.LoadReport(func(i int) (float64, bool) {
			if i >= len(tt.values) {
				return 0, false
			}
			return tt.values[i], true
		})
		if got != tt.want {
			t.Errorf("%s: %+v, want %+v", tt.name, got, tt.want)
		}
	}
}

// What nothing can be built on is named by its place in the settings.
func TestUnusableSettingsAreNamed(t *testing.T) {
	const good = `{"balancers":3,"caps":{"may_cancel":true,"most_tries":3},"discovery":"ask",
		"rules":{"cold_from":0.3,"cold_ms":9000,"fall_multiple":3,"stop_sending_within_ms":500,"ask_within_ms":4000},
		"orgs":[{"name":"x","share":0.4,"quota_per_s":7},{"name":"y","share":0.6,"quota_per_s":9}],"charges":{"cross_zone":0.02},
		"classes":[{"name":"a","aim_ms":500,"hard_limit_ms":1000},{"name":"b","aim_ms":600,"hard_limit_ms":2500}]}`
	read := func(text string) error {
		s, err := ParseJSON([]byte(text))
		if err != nil {
			return err
		}
		_, err = s.PolicyConfig()
		return err
	}
	if err := read(good); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`"balancers":3`, `"balancers":"many"`, "balancers"},
		{`"balancers":3`, `"balancers":0`, "balancers"},
		{`"balancers":3,`, ``, "balancers"},
		{`"may_cancel":true`, `"may_cancel":"perhaps"`, "caps.may_cancel"},
		{`"may_cancel":true`, `"may_cancel":1`, "caps.may_cancel"},
		{`,"most_tries":3`, ``, "caps.most_tries"},
		{`{"may_cancel":true,"most_tries":3}`, `7`, "caps.most_tries"},
		{`"discovery":"ask"`, `"discovery":"guess"`, "discovery"},
		{`"aim_ms":600,`, ``, "classes.1.aim_ms"},
		{`"aim_ms":600`, `"aim_ms":[600]x`, ""},
		{`"hard_limit_ms":2500`, `"hard_limit_ms":-1`, "classes.1.hard_limit_ms"},
		{`"hard_limit_ms":2500`, `"hard_limit_ms":{}`, "classes.1.hard_limit_ms"},
		{`"name":"b"`, `"name":"a"`, "classes.1.name"},
		{good[strings.Index(good, `[{"name":"a"`) : len(good)-1], `[]`, "classes"},
		{`"cold_from":0.3`, `"cold_from":1.5`, "rules.cold_from"},
		{`"cold_from":0.3`, `"cold_from":-0.3`, "rules.cold_from"},
		{`"cold_ms":9000`, `"cold_ms":"soon"`, "rules.cold_ms"},
		{`"fall_multiple":3`, `"fall_multiple":"Inf"`, "rules.fall_multiple"},
		{`"stop_sending_within_ms":500`, `"stop_sending_within_ms":-1`, "rules.stop_sending_within_ms"},
		{`"ask_within_ms":4000`, `"ask_within_ms":"NaN"`, "rules.ask_within_ms"},
		{`"cross_zone":0.02`, `"cross_zone":-2`, "charges.cross_zone"},
		{`"quota_per_s":9`, `"quota_per_s":-9`, "orgs.1.quota_per_s"},
		{`"share":0.4`, `"share":-0.4`, "orgs.0.share"},
		{`"share":0.4,"quota_per_s":7},{"name":"y","share":0.6`, `"share":0,"quota_per_s":7},{"name":"y","share":0`, "orgs"},
	} {
		text := strings.Replace(good, c.old, c.new, 1)
		if text == good {
			t.Fatalf("%s is not in the settings", c.old)
		}
		if err := read(text); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want one that names %s", c.new, err, c.want)
		}
	}
}
