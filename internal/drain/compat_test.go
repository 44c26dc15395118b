package drain

import (
	"context"
	"encoding/json"
	"errors"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"barleywick/internal/registry"
	"barleywick/internal/testing/fixture"
)

const (
	fixtureStartMS = 1_800_000_000_000
	fixtureSeq     = 1_843_200_000_000_007
)

// expectedDrains returns the expected drains of one machine in the records that revision 396a775
// wrote, by file.
func expectedDrains() map[string]Drain {
	operators := Drain{Machine: "m-1", Hosts: []string{"s-1", "s-2"}, Owner: "ops-a", BeganMS: fixtureStartMS}
	controllers := Drain{
		Machine: "m-1", Hosts: []string{"s-1", "s-2"}, Owner: OwnerControllers,
		BeganMS: fixtureStartMS + 4000, DeadlineMS: fixtureStartMS + 304_000,
	}
	at := func(d Drain, step Step, expires int64, note string) Drain {
		d.Step, d.ExpiresMS, d.Note = step, fixtureStartMS+expires, note
		if step != Claimed {
			d.Seq, d.MarkedMS = fixtureSeq, d.BeganMS
			if d.Owner == OwnerControllers {
				d.Seq += 2
			}
		}
		return d
	}
	return map[string]Drain{
		"claimed":                     at(operators, Claimed, 10_000, ""),
		"marked":                      at(operators, Marked, 10_000, ""),
		"drained":                     at(operators, Drained, 12_000, ""),
		"stopping":                    at(operators, Stopping, 12_000, ""),
		"stopped":                     at(operators, Stopped, 12_000, ""),
		"stopped-waiting":             at(operators, Stopped, 13_000, "waits for k1, s7 to end"),
		"done":                        at(operators, Done, 14_000, "waits for s7 to end"),
		"undoing":                     at(operators, Undoing, 14_000, "waits for s7 to end"),
		"handed-over-claimed":         at(controllers, Claimed, 14_000, ""),
		"handed-over-marked":          at(controllers, Marked, 14_000, ""),
		"handed-over-drained":         at(controllers, Drained, 15_000, ""),
		"handed-over-stopping":        at(controllers, Stopping, 15_000, ""),
		"handed-over-stopped":         at(controllers, Stopped, 15_000, ""),
		"handed-over-stopped-waiting": at(controllers, Stopped, 16_000, "waits for k1, s7 to end"),
		"handed-over-done":            at(controllers, Done, 17_000, "waits for s7 to end"),
	}
}

// A record that revision 396a775 wrote is decoded completely, and encoded again byte for byte.
func TestRecordsOf396a775(t *testing.T) {
	want := make(map[string]map[string]Drain)
	for name, d := range expectedDrains() {
		want[name] = map[string]Drain{"m-1": d}
	}
	want["two-machines"] = map[string]Drain{
		"m-1": expectedDrains()["handed-over-done"],
		"m-3": {
			Machine: "m-3", Step: Claimed, Hosts: []string{"s-5"}, Owner: OwnerControllers,
			ExpiresMS: fixtureStartMS + 17_000, BeganMS: fixtureStartMS + 7000, DeadlineMS: fixtureStartMS + 307_000,
		},
	}
	for name, want := range want {
		text := fixture.Read(t, name+".json")
		var got map[string]Drain
		if err := json.Unmarshal(text, &got); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, want %+v", name, got, want)
		}
		if encoded, err := json.Marshal(got); err != nil || string(encoded) != string(text) {
			t.Errorf("%s: encoded as %s, %v, want %s", name, encoded, err, text)
		}
	}
}

// worldAtStep returns a registry with a record of revision 396a775, and the marks and stopped servers
// of the drain's step.
func worldAtStep(t *testing.T, name string, d Drain) *world {
	t.Helper()
	w := newWorld(t)
	w.apply(registry.Command{Op: registry.OpPutRecord, Key: RecordKey, Value: fixture.Read(t, name+".json")})
	for draining := true; w.state.Seq() < d.Seq; draining = !draining {
		w.apply(registry.Command{Op: registry.OpMark, Hosts: d.Hosts, MarkedBy: "drain:m-1", Draining: draining})
	}
	switch d.Step {
	case Drained, Stopping, Stopped, Done, Undoing:
		w.sidecarSeq = w.state.Seq()
		for _, host := range d.Hosts {
			w.work[host] = 0
		}
	}
	switch d.Step {
	case Stopped, Done, Undoing:
		for _, host := range d.Hosts {
			w.stops[host] = 1
		}
	}
	return w
}

// A drain that revision 396a775 started is refused to other operators during its claim, and can then
// be resumed or undone from each step.
func TestResumeDrainsOf396a775(t *testing.T) {
	for name, d := range expectedDrains() {
		for _, undo := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				w := worldAtStep(t, name, d)
				other := w.operator("ops-b").workflow()
				if d.Owner == "ops-a" && d.Step != Done {
					if err := other.Undrain(t.Context(), "m-1"); !errors.Is(err, ErrRefused) || !strings.Contains(err.Error(), "claimed by ops-a") {
						t.Errorf("%s: undone during the claim: %v, want a refusal", name, err)
					}
				}
				w.now = w.now.Add(time.Minute)
				if undo || d.Step == Undoing {
					if err := other.Undrain(t.Context(), "m-1"); err != nil {
						t.Errorf("%s: undo: %v", name, err)
					}
					w.check(name, "m-1", false)
					return
				}
				if err := resume(t.Context(), w, d); err != nil {
					t.Errorf("%s: resume: %v", name, err)
				}
				w.check(name, "m-1", true)
			})
		}
	}
}

// resume runs a drain to its end: as the controllers if they own it, and as another operator otherwise.
func resume(ctx context.Context, w *world, d Drain) error {
	if d.Step == Done {
		return nil
	}
	if d.Owner != OwnerControllers {
		return w.operator("ops-b").workflow().Drain(ctx, d.Machine)
	}
	controllers := w.operator(OwnerControllers).workflow()
	handedOver, err := controllers.HandedOver(ctx)
	if err != nil || len(handedOver) != 1 || !reflect.DeepEqual(handedOver[0], d) {
		return errors.Join(err, errors.New("got other drains than the one that was handed over"))
	}
	return controllers.Resume(ctx, handedOver[0])
}

// A configuration file of fleetctl is decoded to the values that revision 396a775 decoded.
func TestConfigurationsOf396a775(t *testing.T) {
	for _, name := range []string{"fleetctl", "fleetctl-minimal"} {
		c, err := LoadConfig(filepath.Join(fixture.Folder, name+".json"))
		if err != nil {
			t.Fatal(err)
		}
		want := fixture.Read(t, name+".read.json")
		if got, err := json.Marshal(c); err != nil || string(got) != string(want) {
			t.Errorf("%s: got %s, %v, want %s", name, got, err, want)
		}
	}
}
