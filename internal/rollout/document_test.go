package rollout

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
)

func TestDocument(t *testing.T) {
	for _, x := range []struct {
		says   string
		change func(d *Document)
	}{
		{"form is 2", func(d *Document) { d.FormatVersion = 2 }},
		{"mode is", func(d *Document) { d.Mode = "x" }},
		{"tenants[1].name \"a\" is there twice", func(d *Document) { d.Tenants[1].Name = "a" }},
		{"tenants[0].slots is -1", func(d *Document) { d.Tenants[0].Slots = -1 }},
		{"tenants[1].places is 0", func(d *Document) { d.Tenants[1].QueuePlaces = 0 }},
		{"none has slots", func(d *Document) { d.Tenants[0].Slots, d.Tenants[1].Slots = 0, 0 }},
		{"most_tries is 99", func(d *Document) { d.MaxAttempts = 99 }},
	} {
		d := document(4)
		if x.change(d); d.Check() == nil || !strings.Contains(d.Check().Error(), x.says) {
			t.Errorf("%v; want %q", d.Check(), x.says)
		}
	}
	var later Document
	if err := json.Unmarshal([]byte(`{"form":1,"mode":"carry","tenants":[{"name":"a","slots":1,"places":1}],"speed":3}`), &later); err != nil {
		t.Fatal(err)
	}
	if err := later.Check(); err == nil || !strings.Contains(err.Error(), "speed") {
		t.Errorf("a field of a later build: %v", err)
	}
	a, b := document(4), document(6)
	a.MaxAttempts, b.NoProbes, b.MaxClientConnections = 3, true, 50
	b.Tenants = []Tenant{{"a", 3, 9}, {"c", 7, 1}}
	j := Stricter(a, b)
	want := []Tenant{{"a", 3, 1}, {"b", 0, 0}, {"c", 0, 0}}
	if !slices.Equal(j.Tenants, want) || j.MaxAttempts != 3 || !j.NoProbes || j.MaxClientConnections != 50 || j.Mode != ModeCarry {
		t.Errorf("the stricter of both is %+v", j)
	}
	if lines := Diff(a, b); len(lines) != 6 {
		t.Errorf("%d lines: %q", len(lines), lines)
	}
	if Diff(a, a) != nil || a.Checksum() == b.Checksum() {
		t.Error("two that are alike differ, or two that differ are alike")
	}
}
