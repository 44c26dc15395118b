package simadapter

import (
	"bytes"
	"path/filepath"
	"testing"

	"barleywick/internal/testing/fixture"
)

// recording reads one direction of a conversation that commit 396a775 recorded.
func recording(t *testing.T, name string) []byte {
	t.Helper()
	return fixture.ReadGzip(t, filepath.Join("testdata", name+".bin.gz"))
}

// Each decision and each byte on the wire is as it was in 396a775: overload and its shedding,
// servers that join and start slowly, and a zone that is cut off.
func TestRecordedConversationsAreAnsweredAsBefore(t *testing.T) {
	for _, name := range []string{"overload", "join", "split"} {
		t.Run(name, func(t *testing.T) {
			want := recording(t, name+"-out")
			var out bytes.Buffer
			if err := Serve(bytes.NewReader(recording(t, name+"-in")), &out); err != nil {
				t.Fatal(err)
			}
			got := out.Bytes()
			for i := range min(len(got), len(want)) {
				if got[i] != want[i] {
					t.Fatalf("the answers differ from byte %d on", i)
				}
			}
			if len(got) != len(want) {
				t.Errorf("%d bytes of answers, want %d", len(got), len(want))
			}
		})
	}
}
