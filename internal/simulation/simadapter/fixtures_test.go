package simadapter

import (
	"bytes"
	"path/filepath"
	"testing"

	"barleywick/internal/testing/fixture"
)

// recording reads the events or the replies of a scenario run that was recorded at commit 396a775.
func recording(t *testing.T, name string) []byte {
	t.Helper()
	return fixture.ReadGzip(t, filepath.Join("testdata", name+".bin.gz"))
}

// The replies to recorded events are byte for byte those of commit 396a775. The recordings cover overload
// with shedding, new servers in slow start, and a partitioned zone.
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
					t.Fatalf("the replies differ from byte %d on", i)
				}
			}
			if len(got) != len(want) {
				t.Errorf("got %d bytes of replies, want %d", len(got), len(want))
			}
		})
	}
}
