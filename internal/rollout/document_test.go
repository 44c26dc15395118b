package rollout

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
)

func TestDocumentCheck(t *testing.T) {
	for _, x := range []struct {
		want   string
		change func(d *Document)
	}{
		{"form is 2", func(d *Document) { d.FormatVersion = 2 }},
		{"mode is", func(d *Document) { d.Mode = "x" }},
		{"tenants: 257 are named", func(d *Document) { d.Tenants = manyTenants(maxTenants + 1) }},
		{"tenants[1].name \"a\" is there twice", func(d *Document) { d.Tenants[1].Name = "a" }},
		{"tenants[0].slots is -1", func(d *Document) { d.Tenants[0].Slots = -1 }},
		{"tenants[1].places is 0", func(d *Document) { d.Tenants[1].QueuePlaces = 0 }},
		{"none has slots", func(d *Document) { d.Tenants[0].Slots, d.Tenants[1].Slots = 0, 0 }},
		{"most_tries is 99", func(d *Document) { d.MaxAttempts = 99 }},
	} {
		d := document(4)
		x.change(d)
		if err := d.Check(); err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("got %v, want %q", err, x.want)
		}
	}
	for _, d := range []*Document{document(4), {FormatVersion: 1, Mode: ModeRefuse, Tenants: manyTenants(maxTenants)}} {
		if err := d.Check(); err != nil {
			t.Errorf("%d tenants: got error %v, want none", len(d.Tenants), err)
		}
	}
}

func manyTenants(n int) (tenants []Tenant) {
	for i := range n {
		tenants = append(tenants, Tenant{fmt.Sprint("t", i), 1, 1})
	}
	return tenants
}

func TestDocumentOfLaterBuild(t *testing.T) {
	var later Document
	if err := json.Unmarshal([]byte(`{"form":1,"mode":"carry","tenants":[{"name":"a","slots":1,"places":1}],"speed":3}`), &later); err != nil {
		t.Fatal(err)
	}
	if err := later.Check(); err == nil || !strings.Contains(err.Error(), "speed") {
		t.Errorf("got %v, want the name of the unknown field", err)
	}
}

// twoDocuments returns two documents that differ in most fields.
func twoDocuments() (a, b *Document) {
	a, b = document(4), document(6)
	a.MaxAttempts, b.NoProbes, b.MaxClientConnections = 3, true, 50
	b.Tenants = []Tenant{{"a", 3, 9}, {"c", 7, 1}}
	return a, b
}

func TestStricter(t *testing.T) {
	got := Stricter(twoDocuments())
	tenants := []Tenant{{"a", 3, 1}, {"b", 0, 0}, {"c", 0, 0}}
	if !slices.Equal(got.Tenants, tenants) {
		t.Errorf("got tenants %v, want %v", got.Tenants, tenants)
	}
	if got.MaxAttempts != 3 || !got.NoProbes || got.MaxClientConnections != 50 || got.Mode != ModeCarry {
		t.Errorf("got %+v, want at most 3 attempts, no probes, 50 client connections, mode carry", got)
	}
}

func TestDiff(t *testing.T) {
	a, b := twoDocuments()
	if got := Diff(a, b); len(got) != 6 {
		t.Errorf("got %d lines, want 6: %q", len(got), got)
	}
	if got := Diff(a, a); got != nil {
		t.Errorf("a document and itself: got %q, want nothing", got)
	}
	if a.Checksum() == b.Checksum() {
		t.Errorf("two documents that differ: got the same checksum %s", a.Checksum())
	}
}
