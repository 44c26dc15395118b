package linearizability

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

func write(value string, start, end time.Duration, completed bool) Operation {
	return Operation{Key: "k", Written: value, Start: start, End: end, Completed: completed}
}

func read(value string, start, end time.Duration) Operation {
	return Operation{Key: "k", Read: value, Start: start, End: end, Completed: true}
}

// A history is accepted if its operations can have taken effect one after the other.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name       string
		operations []Operation
		want       porcupine.CheckResult
	}{
		{"read of the last write", []Operation{write("a", 1, 2, true), write("b", 3, 4, true), read("b", 5, 6)}, porcupine.Ok},
		{"read of an earlier write", []Operation{write("a", 1, 2, true), write("b", 3, 4, true), read("a", 5, 6)}, porcupine.Illegal},
		{"read during a write", []Operation{write("a", 1, 2, true), write("b", 3, 6, true), read("a", 4, 5)}, porcupine.Ok},
		{"reads that go back", []Operation{write("a", 1, 9, true), read("a", 2, 3), read("", 4, 5)}, porcupine.Illegal},
		{"write of unknown outcome that was read", []Operation{write("a", 1, 2, false), read("", 3, 4), read("a", 5, 6)}, porcupine.Ok},
		{"write of unknown outcome that was undone", []Operation{write("a", 1, 2, false), read("a", 3, 4), read("", 5, 6)}, porcupine.Illegal},
		{"read of a value that was not written", []Operation{read("a", 1, 2)}, porcupine.Illegal},
	} {
		if got := Check(GroupByKey(c.operations)["k"], time.Minute); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// Operations are grouped by record. Incomplete reads, and incomplete writes whose value was not read, are
// left out.
func TestGroupByKey(t *testing.T) {
	histories := GroupByKey([]Operation{
		write("a", 1, 2, true),
		write("never read", 3, 4, false),
		{Key: "k", Start: 5, End: 6}, // a read that did not complete
		{Key: "other", Written: "a", Start: 1, End: 2, Completed: true},
	})
	if len(histories) != 2 || len(histories["k"]) != 1 || len(histories["other"]) != 1 {
		t.Errorf("got %v, want one operation of each of two records", histories)
	}
}
