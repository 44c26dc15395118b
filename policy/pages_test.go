package policy

import (
	"os"
	"reflect"
	"regexp"
	"testing"
)

// The page on decisions must list every counter and no unknown ones.
func TestPageListsEveryCounter(t *testing.T) {
	page, err := os.ReadFile("../docs/DECISIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	known := map[string]bool{"SlotsFree": true, "QueueFree": true, "Share": true, "Slots": true, "SlowStartWindow": true}
	counters := reflect.TypeFor[Counters]()
	for i := range counters.NumField() {
		known[counters.Field(i).Name] = false
	}
	for _, m := range regexp.MustCompile("`([A-Z][A-Za-z]+)`").FindAllSubmatch(page, -1) {
		if _, ok := known[string(m[1])]; !ok {
			t.Errorf("DECISIONS.md names the counter %s, which does not exist", m[1])
		}
		known[string(m[1])] = true
	}
	for name, named := range known {
		if !named {
			t.Errorf("DECISIONS.md does not name the counter %s", name)
		}
	}
}
