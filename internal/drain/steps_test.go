package drain

import (
	"testing"
	"time"
)

// The wall clock is set ahead by an hour after a mark was written: by it, all sidecars have been told
// and no client waits any more. What counts is for how long this process has known of the mark.
func TestMarkIsAsOldAsThisProcessKnows(t *testing.T) {
	w := newWorld(t)
	flow := w.operator("ops-a").workflow()
	own := Drain{Machine: "m-1", MarkedMS: w.now.Add(-time.Hour).UnixMilli()}
	first := flow.markedSince(own)
	if !first.Equal(w.now) {
		t.Errorf("marked since %v, this process has known it since %v", first, w.now)
	}
	w.now = w.now.Add(time.Second)
	if again := flow.markedSince(own); !again.Equal(first) {
		t.Errorf("the same mark counts from %v and from %v", first, again)
	}
	own.MarkedMS = w.now.UnixMilli()
	if other := flow.markedSince(own); !other.Equal(w.now) {
		t.Errorf("a new mark counts from %v, want %v", other, w.now)
	}
}
