package membership

import (
	"testing"

	"barleywick/internal/testing/fixture"
)

// Node metadata written by version 396a775 is read, and written with the same bytes.
func TestNodeMetaOfEarlierVersion(t *testing.T) {
	for file, want := range map[string]Info{
		"node_meta_full.json": {
			Name: "k1", Incarnation: 1796175124000001, Role: RoleController, Zone: "a", Version: "3.1", PolicyEpoch: 14, Phase: "draining",
			HTTPAddr: "127.0.0.1:9400", RaftAddr: "127.0.0.1:9500", ReplicaID: "r0", MachineName: "m7", MachineID: "1x2y3z", PID: 4711, ProcessStart: 99887766, LongestActMS: 250,
		},
		"node_meta_minimal.json": {Name: "s1", Incarnation: 11, Role: RoleSidecar},
	} {
		text := fixture.Read(t, file)
		if got, err := DecodeInfo(text); err != nil || got != want {
			t.Errorf("%s: got %+v (%v), want %+v", file, got, err, want)
		}
		if got, err := want.Encode(); err != nil || string(got) != string(text) {
			t.Errorf("%s: encoded as %s (%v), want %s", file, got, err, text)
		}
	}
}
