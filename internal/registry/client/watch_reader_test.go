package client

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"barleywick/internal/registry/registrytest"
)

// A listing may stand on several lines, and come in pieces with time between them.
func TestListingOverSeveralLines(t *testing.T) {
	g := registrytest.NewServer(t)
	news := startDiscovery(t, g, &ListUpdate{Seq: 41, Full: true})
	w := await(t, "the watch", g.Watches)
	w.Lines <- ""
	if l := await(t, "word that the watch is up", news); l.Seq != 41 || l.Endpoints != nil {
		t.Errorf("delivered %+v", l)
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
		if l := await(t, "a change", news); l.Seq != want || len(l.Endpoints) != 1 {
			t.Errorf("delivered %+v, want version %d", l, want)
		}
	}
	if len(g.ListCalls) > 0 {
		t.Error("the whole list was called for")
	}
}

// Empty lines in a listing that does not go on are no signs of life.
func TestListingThatDoesNotGoOnIsSilence(t *testing.T) {
	g := registrytest.NewServer(t)
	startDiscovery(t, g, &ListUpdate{Seq: 41, Full: true})
	w := await(t, "the watch", g.Watches)
	w.Lines <- `{"seq":42,"whole":false,"hosts":[`
	beats := time.NewTicker(watchTimeout / 10)
	defer beats.Stop()
	for n := 0; ; {
		select {
		case <-beats.C:
			select {
			case w.Lines <- "":
				n++
			case <-w.Ended:
			}
		case again := <-g.Watches:
			if again.From != "41" || n == 0 {
				t.Errorf("the next watch is from %s after %d empty lines", again.From, n)
			}
			return
		case <-time.After(patience):
			t.Fatalf("the watch goes on after %d empty lines", n)
		}
	}
}
