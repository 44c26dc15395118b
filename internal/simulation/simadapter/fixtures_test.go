package simadapter

import (
	"bytes"
	"compress/gzip"
	"io"
	"os"
	"path/filepath"
	"testing"
)

// recording reads one direction of a conversation that commit 396a775 recorded.
func recording(t *testing.T, name string) []byte {
	t.Helper()
	file, err := os.Open(filepath.Join("testdata", name+".bin.gz"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	z, err := gzip.NewReader(file)
	if err != nil {
		t.Fatal(err)
	}
	all, err := io.ReadAll(z)
	if err != nil {
		t.Fatal(err)
	}
	return all
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
