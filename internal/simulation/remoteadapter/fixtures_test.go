package remoteadapter

import (
	"bytes"
	"io"
	"testing"
	"time"

	"barleywick/internal/simulation/emulator"
	"barleywick/internal/simulation/simadapter"
	"barleywick/internal/testing/fixture"
)

// recordedInput reads the events of a scenario run that was recorded at commit 396a775.
func recordedInput(t *testing.T, name string) []byte {
	t.Helper()
	return fixture.ReadGzip(t, "../simadapter/testdata/"+name+"-in.bin.gz")
}

// The events of a run are byte for byte those of commit 396a775, so that adapters of other builds can
// read them.
func TestEventsAreWrittenAsBefore(t *testing.T) {
	for _, tt := range []struct {
		preset            string
		sidecars, servers int
	}{{"overload", 20, 6}, {"join", 4, 6}, {"split", 8, 6}} {
		t.Run(tt.preset, func(t *testing.T) {
			sc, err := emulator.Preset(tt.preset, tt.sidecars, tt.servers)
			if err != nil {
				t.Fatal(err)
			}
			sc.Stretch(10 * time.Second)
			var written bytes.Buffer
			a := startServer(t, func(in io.Reader, out io.Writer) error {
				return simadapter.Serve(io.TeeReader(in, &written), out)
			})
			run(t, sc, a.NewDecider)
			if a.Err() != nil {
				t.Fatal(a.Err())
			}
			if want := recordedInput(t, tt.preset); !bytes.Equal(written.Bytes(), want) {
				t.Errorf("%d bytes of events differ from the %d recorded ones", written.Len(), len(want))
			}
		})
	}
}
