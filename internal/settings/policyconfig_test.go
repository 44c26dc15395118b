package settings

import (
	"strings"
	"testing"
)

// The error about an invalid value names its path in the settings.
func TestInvalidSettingsAreNamedByPath(t *testing.T) {
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
			t.Fatalf("test setup: %s is not in the settings", c.old)
		}
		if err := read(text); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want one that names %s", c.new, err, c.want)
		}
	}
}
