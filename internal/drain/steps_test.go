package drain

import (
	"testing"
	"time"
)

// If the wall clock is set ahead by an hour after the servers were marked, all sidecars would count as
// notified, and servers as idle, too early. So the time since the marks is measured from when this
// process first saw them.
func TestMarkCountsFromWhenItIsFirstSeen(t *testing.T) {
	w := newWorld(t)
	flow := w.operator("ops-a").workflow()
	own := Drain{Machine: "m-1", MarkedMS: w.now.Add(-time.Hour).UnixMilli()}
	first := flow.markedSince(own)
	if !first.Equal(w.now) {
		t.Errorf("got marked since %v, want %v", first, w.now)
	}
	w.now = w.now.Add(time.Second)
	if again := flow.markedSince(own); !again.Equal(first) {
		t.Errorf("the same mark: got marked since %v, want %v", again, first)
	}
	own.MarkedMS = w.now.UnixMilli()
	if other := flow.markedSince(own); !other.Equal(w.now) {
		t.Errorf("a new mark: got marked since %v, want %v", other, w.now)
	}
}
