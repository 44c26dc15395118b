package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"barleywick/internal/registry"
)

// A data folder that belongs to another replica, or whose log is corrupt, is refused with an error of one
// line.
func TestInvalidDataFolderIsRefused(t *testing.T) {
	g := startGroup(t, 1)
	n, c := g.nodes[0], g.client()
	for i := range 50 {
		if _, err := c.Register(testContext(t), registry.RegisterRequest{Instance: instance(fmt.Sprint("s-", i), 1)}); err != nil {
			t.Fatal(err)
		}
	}
	open := func(c *Config) error {
		t.Helper()
		d, err := openStorage(c, newRaftLogger())
		if err == nil {
			d.bolt.Close()
		}
		return err
	}
	if err := open(n.config); err == nil || !strings.Contains(err.Error(), "in use") {
		t.Errorf("folder of a running replica: got error %v, want in use", err)
	}
	n.stop()
	if err := open(n.config); err != nil {
		t.Fatalf("folder of a stopped replica: %v", err)
	}
	log, err := os.ReadFile(filepath.Join(n.config.DataDir, logFile))
	if err != nil {
		t.Fatal(err)
	}
	copied := func(log []byte) *Config {
		t.Helper()
		c := *n.config
		c.DataDir = t.TempDir()
		text, _ := json.Marshal(identity{Form: 1, Group: c.Group, ID: c.ID})
		if err := errors.Join(os.WriteFile(filepath.Join(c.DataDir, identityFile), text, 0o600), os.WriteFile(filepath.Join(c.DataDir, logFile), log, 0o600)); err != nil {
			t.Fatal(err)
		}
		return &c
	}
	at := strings.LastIndex(string(log), "s-20")
	corrupt := slices.Clone(log)
	corrupt[at]++
	other, stranger, empty := *n.config, *n.config, *n.config
	other.Group = "another"
	stranger.ID = "r7"
	empty.DataDir = t.TempDir()
	if err := os.WriteFile(filepath.Join(empty.DataDir, "notes.txt"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for name, x := range map[string]struct {
		config *Config
		want   string
	}{
		"another group":           {&other, "belongs to"},
		"another replica":         {&stranger, "belongs to"},
		"a folder of other files": {&empty, "not a replica's"},
		"a flipped bit":           {copied(corrupt), "corrupt"},
		"cut in the middle":       {copied(log[:at]), "log "},
		"cut at the start":        {copied(log[:100]), "log "},
		"no log at all":           {copied([]byte(strings.Repeat("noise", 10000))), "log "},
	} {
		if err := open(x.config); err == nil || !strings.Contains(err.Error(), x.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want one line with %q", name, err, x.want)
		}
	}
	file := *n.config
	file.DataDir = filepath.Join(n.config.DataDir, logFile)
	if err := open(&file); err == nil {
		t.Error("a file was accepted as data folder")
	}
}

// A log entry that was changed on disk is detected when it is read.
func TestCorruptLogEntryIsDetected(t *testing.T) {
	d, err := openStorage(&Config{Group: "a", ID: "r", DataDir: t.TempDir()}, newRaftLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer d.bolt.Close()
	for i := uint64(1); i <= 3; i++ {
		if err := d.log.StoreLog(&raft.Log{Index: i, Term: 1, Data: fmt.Appendf(nil, "entry %d", i)}); err != nil {
			t.Fatal(err)
		}
	}
	var l raft.Log
	if err := d.log.GetLog(2, &l); err != nil || string(l.Data) != "entry 2" {
		t.Errorf("got %q, error %v; want entry 2", l.Data, err)
	}
	if err := d.log.verify(0); err != nil {
		t.Error(err)
	}
	if err := d.bolt.StoreLog(&raft.Log{Index: 2, Term: 1, Data: []byte("entry 2 without its checksum")}); err != nil {
		t.Fatal(err)
	}
	if err := d.log.verify(0); err == nil || !strings.Contains(err.Error(), "entry 2 is corrupt") {
		t.Errorf("got error %v, want that entry 2 is corrupt", err)
	}
}

// A replica whose disk is full reports that in its errors and continues to serve.
func TestFullDiskIsReported(t *testing.T) {
	g := startGroup(t, 1)
	n, c := g.nodes[0], g.client()
	if _, err := c.Register(testContext(t), registry.RegisterRequest{Instance: instance("s-1", 1)}); err != nil {
		t.Fatal(err)
	}
	full := errors.New("no space left on device")
	n.storage.log.lastWriteError.Store(&full)
	w := httptest.NewRecorder()
	n.writeError(w, nil, raft.ErrNotLeader)
	if w.Code != 503 || !strings.Contains(w.Body.String(), "cannot write its log: no space left") {
		t.Errorf("a write on a full disk: got %d %s, want 503 with the reason", w.Code, w.Body.String())
	}
	if _, err := c.Register(testContext(t), registry.RegisterRequest{Instance: instance("s-2", 1)}); err != nil || n.storage.log.lastWriteError.Load() != nil {
		t.Errorf("a write once there is disk space again: %v", err)
	}
}

// flakyTermStore is a term store whose writes fail while full is set.
type flakyTermStore struct {
	raft.StableStore
	mu     sync.Mutex
	full   bool
	tries  int
	stored []uint64
}

func (s *flakyTermStore) SetUint64(_ []byte, v uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tries++; s.full {
		return errors.New("no space left on device")
	}
	s.stored = append(s.stored, v)
	return nil
}

// A term waits for disk space. A term that has waited longer does not overwrite a later one, and a
// term that is waiting when the replica is closed never counts as stored.
func TestTermWaitsForDiskSpace(t *testing.T) {
	s := &flakyTermStore{full: true}
	p := newRetryingTermStore(s)
	if err := p.SetUint64([]byte("LastVoteTerm"), 4); err == nil {
		t.Error("a vote was stored on a full disk")
	}
	var waiting sync.WaitGroup
	for term := uint64(5); term < 8; term++ {
		waiting.Go(func() {
			if err := p.SetUint64([]byte(termKey), term); err != nil {
				t.Errorf("term %d: %v", term, err)
			}
		})
	}
	eventually(t, "all terms are waiting", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return p.waiting.Load() == 3 && s.tries > 3 })
	s.mu.Lock()
	s.full = false
	s.mu.Unlock()
	waiting.Wait()
	if !slices.Equal(s.stored, []uint64{7}) {
		t.Errorf("stored terms: got %v, want only the newest term 7", s.stored)
	}
	s.full = true
	returned := false
	waiting.Go(func() {
		p.SetUint64([]byte(termKey), 9)
		returned = true
	})
	eventually(t, "the term is waiting", func() bool { return p.waiting.Load() == 1 })
	close(p.closing)
	if waiting.Wait(); returned {
		t.Error("SetUint64 returned although the term is not stored")
	}
}

// A process that found the data folder without a log does not replace the log that another process
// has created meanwhile.
func TestConcurrentFirstStartKeepsExistingLog(t *testing.T) {
	c := parseSettings(t, map[string]any{
		"group": "test", "id": "r0", "data": t.TempDir(),
		"replicas": []registry.ReplicaInfo{{ID: "r0", HTTP: "127.0.0.1:1", Raft: "127.0.0.1:2"}},
	})
	if claim, err := claimDataFolder(c); !claim.isNew || err != nil {
		t.Fatalf("the second process claims the folder: got %+v, error %v; want a new folder", claim, err)
	}
	first, err := openStorage(c, newRaftLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	if err := first.log.StoreLog(&raft.Log{Index: 1, Term: 1, Data: []byte("acknowledged")}); err != nil {
		t.Fatal(err)
	}
	// The second process continues as if there were no log.
	if err := createLogFile(filepath.Join(c.DataDir, logFile)); err == nil {
		t.Error("the second process replaced the log that the first has open")
	}
	second, err := openStorage(c, newRaftLogger())
	if err != nil {
		return
	}
	defer second.Close()
	last, err := second.log.LastIndex()
	t.Errorf("two processes have the folder open: last entry of the second is %d, error %v, the first has acknowledged entry 1", last, err)
}

// A replica that was stopped before it was added to a group does not found a group of its own when
// it is started again without join in its configuration.
func TestJoiningReplicaWithoutEntriesFoundsNoGroup(t *testing.T) {
	m := newMembers(t, "r3")[0]
	folder := filepath.Join(t.TempDir(), "data")
	n := &node{t: t, config: parseSettings(t, singleReplica(m, folder, map[string]any{"join": true})), member: m}
	n.start()
	n.stop()
	n.config = parseSettings(t, singleReplica(m, folder, nil))
	n.start()
	defer n.stop()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if n.raft.State() == raft.Leader {
			t.Fatalf("the replica leads a group of its own with %d voters, want no leader", len(n.voters()))
		}
	}
}

// Two replicas that were stopped before they were added to a group do not found a group of their
// own when they are started again without join in their configurations, which list both of them
// and the existing replica.
func TestJoiningReplicasFoundNoGroup(t *testing.T) {
	members := newMembers(t, "r0", "r3", "r4") // r0 is the only member of the group to join, and is not running
	var nodes []*node
	for _, m := range members[1:] {
		settings := map[string]any{"group": "test", "id": m.ID, "data": filepath.Join(t.TempDir(), "data"), "replicas": members, "join": true, "timing": map[string]any{"election_ms": 200}}
		n := &node{t: t, config: parseSettings(t, settings), member: m}
		n.start()
		n.stop()
		delete(settings, "join")
		n.config = parseSettings(t, settings)
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		n.start()
		defer n.stop()
	}
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, n := range nodes {
			if n.raft.State() == raft.Leader {
				t.Fatalf("%s leads a new group with %d voters, want no leader", n.member.ID, len(n.voters()))
			}
		}
	}
}
