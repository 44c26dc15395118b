package server

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"barleywick/internal/registry"
	"barleywick/internal/testing/fixture"
)

const (
	earlierGroup = "fixture"
	// writesBeforeSnapshot exceeds snapshotEntries, so that the replica makes a snapshot.
	writesBeforeSnapshot = 4200
	snapshotTimeout      = 2 * time.Minute
	// earlierTerm is the last term in which the earlier version led; it was started twice.
	earlierTerm = 3
)

// earlierWrites are the recorded writes to an empty group, before and after its snapshot.
var earlierWrites = [2][][3]string{
	{
		{"PUT", "instances/s-1", `{"instance":{"host":"s-1","dial":"127.0.0.1:7001","site":"a","class":"m2","block":3,"health":"up","share":1.5,"born_ms":1700000000000},"session":"session-1","ttl_ms":3600000,"machine":"m-1"}`},
		{"PUT", "instances/s-2", `{"instance":{"host":"s-2","dial":"127.0.0.1:7002","site":"b","class":"","health":"draining","share":1,"born_ms":0},"session":"","ttl_ms":0}`},
		{"PUT", "instances/s-3", `{"instance":{"host":"s-3","dial":"127.0.0.1:7003","site":"b","class":"m2","health":"up","share":1,"born_ms":5},"session":"session-3","ttl_ms":3600000}`},
		{"PUT", "instances/s-4", `{"instance":{"host":"s-4","dial":"127.0.0.1:7004","site":"b","class":"m2","health":"up","share":1,"born_ms":5},"session":"","ttl_ms":0}`},
		{"DELETE", "instances/s-4", ``},
		{"POST", "marks", `{"hosts":["s-3"],"by":"operator-a","draining":true}`},
		{"PUT", "records/drain:1", `{"value":"eyJob3N0Ijoicy0zIn0=","if_version":0}`},
		{"PUT", "records/dropped", `{"value":"eA=="}`},
		{"DELETE", "records/dropped", ``},
		{"POST", "leases/drains/acquire", `{"claim":"claim-k0-drains","holder":"k0","incarnation":11,"ttl_ms":600000,"wait":true}`},
		{"POST", "leases/drains/acquire", `{"claim":"claim-k1-drains","holder":"k1","incarnation":12,"ttl_ms":600000,"wait":true}`},
		{"POST", "leases/copies/acquire", `{"claim":"claim-k0-copies","holder":"k0","incarnation":11,"ttl_ms":600000}`},
		{"POST", "leases/copies/release", `{"claim":"claim-k0-copies","holder":"k0","incarnation":11}`},
		{"POST", "leases/paused/ask", `{"pause":true}`},
		{"POST", "policy", `{"verb":"join","member":{"name":"n0","incarnation":21},"where":{"machine":"m-1","pid":7,"started":8}}`},
		{"POST", "policy", `{"verb":"propose","document":{"form":1,"mode":"carry","tenants":[{"name":"a","slots":10,"places":20}],"most_tries":2},"by":"operator-a","reason":"a first policy","within_ms":600000}`},
	},
	{
		{"PUT", "instances/s-5", `{"instance":{"host":"s-5","dial":"127.0.0.1:7005","site":"c","class":"m4","health":"up","share":2,"born_ms":1700000000001},"session":"session-5","ttl_ms":3600000}`},
		{"POST", "marks", `{"hosts":["s-1","s-5"],"by":"operator-b","draining":true}`},
		{"POST", "marks", `{"hosts":["s-1"],"by":"operator-b","draining":false}`},
		{"PUT", "records/drain:2", `{"value":"eyJob3N0Ijoicy01In0="}`},
		{"POST", "leases/drains/ask", `{"leave":true,"to":"k1"}`},
		{"POST", "leases/seat:n1/acquire", `{"claim":"claim-n1-seat","holder":"n1","incarnation":31,"ttl_ms":600000}`},
		{"POST", "policy", `{"verb":"say","member":{"name":"n0","incarnation":21},"number":FOUNDED+1,"stage":"preparing"}`},
		{"POST", "policy", `{"verb":"join","member":{"name":"n1","incarnation":31}}`},
	},
}

// singleReplica returns the configuration of a group of one replica, with additional settings.
func singleReplica(m registry.ReplicaInfo, data string, more map[string]any) map[string]any {
	settings := map[string]any{
		"group": earlierGroup, "id": m.ID, "data": data, "replicas": []registry.ReplicaInfo{m}, "timing": map[string]any{"election_ms": 200},
	}
	for key, value := range more {
		settings[key] = value
	}
	return settings
}

// enableGrants runs a group of one until it grants leases, and ends it. A replica that starts on
// the same folder then grants leases at once, even if it is configured with a long maximum TTL.
func enableGrants(t testing.TB, program string, m registry.ReplicaInfo, data string) {
	t.Helper()
	p := startProcess(t, program, writeConfig(t, singleReplica(m, data, map[string]any{"leases": map[string]any{"most_ttl_ms": 500}})))
	awaitReady(t, m)
	awaitGrantsOpen(t, m)
	p.terminate()
}

var longLeases = map[string]any{"leases": map[string]any{"most_ttl_ms": 600000}}

// recordDataFolder makes the earlier version write a data folder whose state is split between a
// snapshot and the log after it. The log also contains the addition and removal of a replica.
func recordDataFolder(t *testing.T) {
	members := newMembers(t, "r0", "r1")
	m, other, data := members[0], members[1], filepath.Join(t.TempDir(), "data")
	enableGrants(t, *earlierProgram, m, data)
	p := startProcess(t, *earlierProgram, writeConfig(t, singleReplica(m, data, longLeases)))
	awaitReady(t, m)
	founded := foundedAt(t, m)
	write := func(calls [][3]string) {
		for _, call := range calls {
			mustCallAPI(t, m, call[0], call[1], expandVersions(call[2], founded))
		}
	}
	write(earlierWrites[0])
	for range writesBeforeSnapshot {
		mustCallAPI(t, m, "PUT", "records/repeated", `{"value":"eA=="}`)
	}
	for deadline := time.Now().Add(snapshotTimeout); ; time.Sleep(time.Second) {
		if found, _ := filepath.Glob(filepath.Join(data, "snapshots", "*[0-9]", "state.bin")); len(found) > 0 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("no snapshot was made")
		}
	}
	write(earlierWrites[1])

	q := startProcess(t, *earlierProgram, writeConfig(t, map[string]any{
		"group": earlierGroup, "id": "r1", "data": filepath.Join(t.TempDir(), "data"), "join": true, "replicas": members,
		"timing": map[string]any{"election_ms": 200},
	}))
	mustCallAPI(t, m, "PUT", "members/r1", fmt.Sprintf(`{"http":%q,"raft":%q}`, other.HTTP, other.Raft))
	awaitReady(t, other)
	mustCallAPI(t, m, "DELETE", "members/r1", "")
	q.kill()

	_, _, backup := get(t, "http://"+m.HTTP+registry.APIPath+"backup?linearizable=1")
	p.terminate()
	writeFixture(t, "backup.json", []byte(backup))
	err := filepath.WalkDir(data, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		name, err := filepath.Rel(data, path)
		if err != nil {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		var packed bytes.Buffer
		w, _ := gzip.NewWriterLevel(&packed, gzip.BestCompression)
		if _, err := w.Write(text); err != nil {
			return err
		}
		if err := w.Close(); err != nil {
			return err
		}
		writeFixture(t, filepath.Join("data", name+".gz"), packed.Bytes())
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// unpackData unpacks the earlier version's data folder into a temporary folder.
func unpackData(t testing.TB) (data string) {
	t.Helper()
	data = filepath.Join(t.TempDir(), "data")
	packed := filepath.Join(fixture.Folder, "data")
	err := filepath.WalkDir(packed, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(packed, path)
		if err != nil {
			return err
		}
		to := filepath.Join(data, strings.TrimSuffix(name, ".gz"))
		if entry.IsDir() {
			return os.MkdirAll(to, 0o700)
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		r, err := gzip.NewReader(bytes.NewReader(text))
		if err != nil {
			return err
		}
		plain, err := io.ReadAll(r)
		if err != nil {
			return err
		}
		return os.WriteFile(to, plain, 0o600)
	})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// A replica that starts on the earlier version's data folder has everything that version had
// acknowledged, from its snapshot, log and stored term, and continues at later list versions.
func TestDataFolderOfEarlierVersion(t *testing.T) {
	if *record {
		recordDataFolder(t)
	}
	ln, peers := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
	m := registry.ReplicaInfo{ID: "r0", HTTP: ln.Addr().String(), Raft: peers.Addr().String()}
	n := &node{t: t, config: parseSettings(t, singleReplica(m, unpackData(t), longLeases)), member: m}
	n.serve(ln, peers)
	defer n.stop()
	if first, err := n.storage.log.FirstIndex(); err != nil || first <= 1 {
		t.Errorf("first log entry: got %d, error %v; want more than 1: earlier entries are in the snapshot only", first, err)
	}
	if term := n.raft.CurrentTerm(); term < earlierTerm {
		t.Errorf("term at the start: got %d, want at least %d, the last term of the earlier version", term, earlierTerm)
	}
	awaitReady(t, m)
	if term := n.raft.CurrentTerm(); term <= earlierTerm {
		t.Errorf("term of leadership: got %d, want a term after %d", term, earlierTerm)
	}
	base := "http://" + m.HTTP + registry.APIPath
	want := fixture.ReadString(t, "backup.json")
	if _, _, got := get(t, base+"backup?linearizable=1"); got != want {
		t.Errorf("state:\ngot\n%s\nwant\n%s", got, want)
	}
	// A session and a claim from before can be renewed, and the next token is higher.
	mustCallAPI(t, m, "POST", "instances/s-1/renew", `{"session":"session-1"}`)
	_, _, renewed := callAPI(t, "POST", base+"renewals", `{"holder":"k1","incarnation":12,"claims":[{"name":"drains","claim":"claim-k1-drains"}]}`)
	if want := `{"claims":[{"name":"drains","claim":"claim-k1-drains","place":1}]}`; strings.TrimSpace(renewed) != want {
		t.Errorf("renewed claim: got %s want %s", renewed, want)
	}
	before := registry.NewState()
	if err := json.Unmarshal([]byte(want), before); err != nil {
		t.Fatal(err)
	}
	mustCallAPI(t, m, "POST", "leases/drains/release", `{"claim":"claim-k0-drains","holder":"k0","incarnation":11,"to":"k1"}`)
	n.stateMachine.view(func(s *registry.State) {
		l, _ := s.Leases().Lease("drains")
		if l.Grant == nil || l.Grant.Name != "k1" || l.Grant.Token <= before.Leases().LastToken() {
			t.Errorf("next grant of the lease: got %+v, want one of k1 with a token above %d", l.Grant, before.Leases().LastToken())
		}
	})
	status, answer, text := callAPI(t, "PUT", base+"instances/s-6", `{"instance":{"host":"s-6","dial":"127.0.0.1:7006","site":"a","health":"up","share":1,"born_ms":0},"session":"","ttl_ms":0}`)
	if status != 200 || answer.Seq <= before.Seq() {
		t.Errorf("a write: got %d %s, want a version after %d", status, text, before.Seq())
	}
}
