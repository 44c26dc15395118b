package overload

import (
	"encoding/json"
	"reflect"
	"testing"

	"barleywick/internal/testing/fixture"
)

// readFixture decodes a message into got, and checks that it is encoded as it was.
func readFixture(t *testing.T, name string, got any) {
	t.Helper()
	text := fixture.Read(t, name+".json")
	if err := json.Unmarshal(text, got); err != nil {
		t.Fatal(err)
	}
	encoded, err := json.Marshal(got)
	if err != nil || string(encoded) != string(text) {
		t.Errorf("%s: encoded as %s, %v, want %s", name, encoded, err, text)
	}
}

func TestDigestsOf396a775(t *testing.T) {
	for name, want := range map[string]Digest{
		"digest": {
			Fleet: "prenota-nord", Name: "n3", Incarnation: 1733140000000000, Seq: 212, PeriodMS: 1043, Congestion: 0.31,
			Tenants: []TenantCounts{
				{Tenant: "a", Quota: 2, Requests: 12, InTime: 6, Refused: 6},
				{Tenant: "b", Quota: 1, Requests: 9, InTime: 4, Refused: 5},
				{Tenant: "c", Quota: 1, Requests: 820, InTime: 410, Late: 3, Refused: 410, Failed: 1},
			},
		},
		"digest-without-tenants": {Fleet: "prenota-nord", Name: "n4", Incarnation: 1, Seq: 1, PeriodMS: 1000},
	} {
		var got Digest
		readFixture(t, name, &got)
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, want %+v", name, got, want)
		}
		if err := NewPlanner("prenota-nord", 1).AddDigest(0, got); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestAdviceOf396a775(t *testing.T) {
	const token = 1839278141475843
	rates := Rates{Requests: 2200, InTime: 1100, Refused: 1100}
	for name, want := range map[string]Advice{
		"advice-without-tenants": {Fleet: "f", Token: token, Number: 1, ValidMS: 3000, Congestion: 0.05, Sidecars: 10, Rates: rates},
		"advice-few-sidecars":    {Fleet: "f", Token: token, Number: 12, ValidMS: 3000, Limit: 990, Congestion: 0.5, Sidecars: 10, Expected: 300, Rates: rates},
		"advice": {
			Fleet: "f", Token: token, Number: 11, ValidMS: 3000, Limit: 990, Congestion: 0.5, Sidecars: 10, Expected: 12, Rates: rates,
			Tenants: []TenantAdvice{
				{Tenant: "a", AdmitFraction: 1, RequestRate: 100, AllowedRate: 100},
				{Tenant: "b", AdmitFraction: 1, RequestRate: 100, AllowedRate: 100},
				{Tenant: "c", AdmitFraction: 0.395, RequestRate: 2000, AllowedRate: 790},
			},
		},
	} {
		var got Advice
		readFixture(t, name, &got)
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, want %+v", name, got, want)
		}
		filter := AdviceFilter{Fleet: "f"}
		if err := filter.Accept(got); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestLocationOf396a775(t *testing.T) {
	var got Location
	readFixture(t, "location", &got)
	if want := (Location{Address: "127.0.0.1:9500", Token: 1839278141475843}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
