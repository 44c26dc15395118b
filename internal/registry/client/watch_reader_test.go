package client

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"barleywick/internal/registry/registrytest"
)

// An update may span several lines that arrive one after another.
func TestUpdateSpansSeveralLines(t *testing.T) {
	g := registrytest.NewServer(t)
	updates := startWatcher(t, g, &ListUpdate{Seq: 41, Full: true})
	w := await(t, "the watch", g.Watches)
	w.Lines <- ""
	if l := await(t, "the report that the watch is open", updates); l.Seq != 41 || l.Endpoints != nil {
		t.Errorf("got update %+v, want an empty one at version 41", l)
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, []byte(registrytest.ListJSON(43, false, registrytest.EndpointJSON("s-1", "127.0.0.1:7", "draining", 0))), "", "  "); err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(indented.String()) {
		w.Lines <- strings.TrimSuffix(line, "\n")
	}
	w.Lines <- registrytest.ListJSON(44, false, registrytest.EndpointJSON("s-2", "127.0.0.1:7", "up", 0))
	for _, want := range []uint64{43, 44} {
		if l := await(t, "a change", updates); l.Seq != want || len(l.Endpoints) != 1 {
			t.Errorf("got %+v, want version %d", l, want)
		}
	}
	if len(g.ListCalls) > 0 {
		t.Error("unexpected call for the full list")
	}
}

// Empty lines inside an unfinished update do not keep the watch alive.
func TestEmptyLinesInsideUpdateAreNotHeartbeats(t *testing.T) {
	g := registrytest.NewServer(t)
	startWatcher(t, g, &ListUpdate{Seq: 41, Full: true})
	w := await(t, "the watch", g.Watches)
	w.Lines <- `{"seq":42,"whole":false,"hosts":[`
	heartbeats := time.NewTicker(watchTimeout / 10)
	defer heartbeats.Stop()
	for n := 0; ; {
		select {
		case <-heartbeats.C:
			select {
			case w.Lines <- "":
				n++
			case <-w.Ended:
			}
		case again := <-g.Watches:
			if again.From != "41" || n == 0 {
				t.Errorf("next watch: got from=%s after %d empty lines, want 41 after at least one", again.From, n)
			}
			return
		case <-time.After(eventTimeout):
			t.Fatalf("the watch is still open after %d empty lines", n)
		}
	}
}
