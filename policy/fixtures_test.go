package policy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"barleywick/internal/testing/fixture"
)

// Processes of different versions exchange bulkhead capacities during a take-over, so their JSON must not
// change.
func TestBulkheadCapacityJSONIsUnchanged(t *testing.T) {
	text := fixture.Read(t, "bulkheads.json")
	want := []BulkheadCapacity{{Slots: 3, Places: 1}, {}, {Slots: 12, Places: 2}}
	var got []BulkheadCapacity
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	written, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(append(written, '\n'), text) {
		t.Errorf("got %s, want %s", written, text)
	}
}

// The counters appear in the JSON log, in the text log and in the simulator's log, whose readers depend on
// the names.
func TestCounterLogFormatIsUnchanged(t *testing.T) {
	c := Counters{Ordinary: 1, Passed: 2, Trials: 3, Shed: 4, Retries: 5, Refused: 6, Failed: 7}
	written, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	if want := fixture.Read(t, "counters.json"); !bytes.Equal(append(written, '\n'), want) {
		t.Errorf("JSON: got %s, want %s", written, want)
	}
	if got, want := fmt.Sprintf("%+v\n", c), string(fixture.Read(t, "counters.txt")); got != want {
		t.Errorf("text: got %s, want %s", got, want)
	}
}

// The texts of denials are metric labels.
func TestDenialTextsAreUnchanged(t *testing.T) {
	got := ""
	for d := range NumDenials + 1 {
		got += d.String() + "\n"
	}
	if want := string(fixture.Read(t, "denials.txt")); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
