package settings

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"barleywick/internal/testing/fixture"
)

// checkAgainstFixture compares the configuration that settings give with the one that commit 396a775 gave.
func checkAgainstFixture(t *testing.T, s *Settings, name string) {
	t.Helper()
	config, err := s.PolicyConfig()
	if err != nil {
		t.Fatal(err)
	}
	// Values in field order, since field names are not part of the fixture.
	if got, want := fmt.Sprintf("%v\n", config), string(fixture.Read(t, name+"-config.txt")); got != want {
		t.Errorf("config: got %s, want %s", got, want)
	}
	if got, want := []string(s.LoadColumns()), strings.Fields(string(fixture.Read(t, name+"-columns.txt"))); !slices.Equal(got, want) {
		t.Errorf("columns: got %q, want %q", got, want)
	}
}

func TestLinesAreReadAndWrittenAsBefore(t *testing.T) {
	for _, name := range []string{"page", "emulator"} {
		t.Run(name, func(t *testing.T) {
			text := fixture.Read(t, name+".txt")
			s, err := ParseLines(text)
			if err != nil {
				t.Fatal(err)
			}
			if got := s.Text(); !bytes.Equal(got, text) {
				t.Errorf("got\n%s\nwant\n%s", got, text)
			}
			checkAgainstFixture(t, s, name)
		})
	}
}

func TestJSONIsReadAsBefore(t *testing.T) {
	s, err := ParseJSON(fixture.Read(t, "emulator.json"))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.Text(), fixture.Read(t, "emulator.txt"); !bytes.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
	checkAgainstFixture(t, s, "emulator")
}

// The fixture alternates between a report and the load that 396a775 parsed from it.
func TestLoadReportsAreReadAsBefore(t *testing.T) {
	columns := LoadColumns{"busy_reqs", "pending", "cpu_share", "served_ps", "failed_ps"}
	lines := strings.Split(strings.TrimSuffix(string(fixture.Read(t, "loads.txt")), "\n"), "\n")
	for i := 0; i+1 < len(lines); i += 2 {
		values := ParseLoadReport(lines[i], columns...)
		load := columns.LoadReport(func(column int) (float64, bool) {
			v, ok := values[columns[column]]
			return v, ok
		})
		if got := fmt.Sprint(load); got != lines[i+1] {
			t.Errorf("%q: got %s, want %s", lines[i], got, lines[i+1])
		}
	}
}
