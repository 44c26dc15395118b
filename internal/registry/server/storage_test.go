package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/hashicorp/raft"

	"barleywick/internal/registry"
)

// A folder that is not this replica's, or not whole, is refused in one line.
func TestFoldersThatAreRefused(t *testing.T) {
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
		t.Errorf("while another process has it: %v", err)
	}
	n.stop()
	if err := open(n.config); err != nil {
		t.Fatalf("as it was left: %v", err)
	}
	whole, err := os.ReadFile(filepath.Join(n.config.DataDir, logFile))
	if err != nil {
		t.Fatal(err)
	}
	copied := func(log []byte) *Config {
		t.Helper()
		c := *n.config
		c.DataDir = t.TempDir()
		text, _ := json.Marshal(identity{1, c.Group, c.ID})
		if err := errors.Join(os.WriteFile(filepath.Join(c.DataDir, identityFile), text, 0o600), os.WriteFile(filepath.Join(c.DataDir, logFile), log, 0o600)); err != nil {
			t.Fatal(err)
		}
		return &c
	}
	at := strings.LastIndex(string(whole), "s-20")
	spoilt := slices.Clone(whole)
	spoilt[at]++
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
		"another group":      {&other, "belongs to"},
		"another replica":    {&stranger, "belongs to"},
		"a folder of others": {&empty, "not a replica's"},
		"a flipped bit":      {copied(spoilt), "corrupt"},
		"cut in the middle":  {copied(whole[:at]), "log "},
		"cut at the start":   {copied(whole[:100]), "log "},
		"no log at all":      {copied([]byte(strings.Repeat("noise", 10000))), "log "},
	} {
		if err := open(x.config); err == nil || !strings.Contains(err.Error(), x.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", name, err, x.want)
		}
	}
	file := *n.config
	file.DataDir = filepath.Join(n.config.DataDir, logFile)
	if err := open(&file); err == nil {
		t.Error("a file was taken for a folder")
	}
}

// A log's entry that was changed on disk is found when it is read, not acted upon.
func TestSpoiltEntryIsFound(t *testing.T) {
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
		t.Errorf("read %q, error %v", l.Data, err)
	}
	if err := d.log.verify(); err != nil {
		t.Error(err)
	}
	if err := d.bolt.StoreLog(&raft.Log{Index: 2, Term: 1, Data: []byte("entry 2 without its checksum")}); err != nil {
		t.Fatal(err)
	}
	if err := d.log.verify(); err == nil || !strings.Contains(err.Error(), "entry 2 is corrupt") {
		t.Errorf("error %v, want entry 2", err)
	}
}

// A replica whose disk takes no more says so, and serves on.
func TestFullDiskIsTold(t *testing.T) {
	g := startGroup(t, 1)
	n, c := g.nodes[0], g.client()
	if _, err := c.Register(testContext(t), registry.RegisterRequest{Instance: instance("s-1", 1)}); err != nil {
		t.Fatal(err)
	}
	full := errors.New("no space left on device")
	n.storage.log.lastWriteError.Store(&full)
	w := &responseRecorder{header: make(http.Header)}
	n.writeError(w, nil, raft.ErrNotLeader)
	if w.status != 503 || !strings.Contains(w.text.String(), "cannot write its log: no space left") {
		t.Errorf("a write: %d %s", w.status, w.text.String())
	}
	if _, err := c.Register(testContext(t), registry.RegisterRequest{Instance: instance("s-2", 1)}); err != nil || n.storage.log.lastWriteError.Load() != nil {
		t.Errorf("once there is room again: %v", err)
	}
}

// flakyTermStore is a store that takes nothing while it is full.
type flakyTermStore struct {
	raft.StableStore
	mu    sync.Mutex
	full  bool
	tries int
	kept  []uint64
}

func (s *flakyTermStore) SetUint64(_ []byte, v uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tries++; s.full {
		return errors.New("no space left on device")
	}
	s.kept = append(s.kept, v)
	return nil
}

// A term waits for room on the disk, an earlier one that waited longer is not the last
// word, and one that waits at the replica's end is never taken for kept.
func TestTermWaitsForRoom(t *testing.T) {
	s := &flakyTermStore{full: true}
	p := newWaitingTermStore(s)
	if err := p.SetUint64([]byte("LastVoteTerm"), 4); err == nil {
		t.Error("a vote was kept on a full disk")
	}
	var waiting sync.WaitGroup
	for term := uint64(5); term < 8; term++ {
		waiting.Go(func() {
			if err := p.SetUint64([]byte(termKey), term); err != nil {
				t.Errorf("term %d: %v", term, err)
			}
		})
	}
	eventually(t, "all wait", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return p.waiting.Load() == 3 && s.tries > 3 })
	s.mu.Lock()
	s.full = false
	s.mu.Unlock()
	waiting.Wait()
	if !slices.Equal(s.kept, []uint64{7}) {
		t.Errorf("kept %v, want the newest alone", s.kept)
	}
	s.full = true
	returned := false
	waiting.Go(func() {
		p.SetUint64([]byte(termKey), 9)
		returned = true
	})
	eventually(t, "it waits", func() bool { return p.waiting.Load() == 1 })
	close(p.closing)
	if waiting.Wait(); returned {
		t.Error("it went on with a term that is not kept")
	}
}
