package server

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	bolt "go.etcd.io/bbolt"
)

const (
	identityFile      = "replica.json"
	logFile           = "raft.db"
	lockTimeout       = time.Second // for another process to let go of the log
	retainedSnapshots = 2           // kept: one may prove spoilt
)

// identity says whose folder it is.
type identity struct {
	Form  int    `json:"form"`
	Group string `json:"group"`
	ID    string `json:"id"`
}

// storage is a replica's folder.
type storage struct {
	log       *checkedLog
	terms     *waitingTermStore
	bolt      *raftboltdb.BoltStore
	snapshots raft.SnapshotStore
	isNew     bool // nothing was there yet
}

// openStorage opens the folder, and refuses one that is not this replica's or that
// cannot be read whole: what was acknowledged must not be lost in silence.
func openStorage(c *Config, log *raftLogger) (*storage, error) {
	if err := os.MkdirAll(c.DataDir, 0o700); err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	fresh, err := claimDataFolder(c)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(c.DataDir, logFile)
	if !fresh {
		if err := checkLogFile(path); err != nil {
			return nil, err
		}
	}
	store, err := raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: &bolt.Options{Timeout: lockTimeout}})
	if errors.Is(err, bolt.ErrTimeout) {
		return nil, fmt.Errorf("log %s: in use by another process", path)
	} else if err != nil {
		return nil, fmt.Errorf("log %s: %w", path, err)
	}
	d := &storage{bolt: store, log: &checkedLog{BoltStore: store}, terms: newWaitingTermStore(store), isNew: fresh}
	if err := d.log.verify(); err != nil {
		store.Close()
		return nil, fmt.Errorf("log %s: %w", path, err)
	}
	if d.snapshots, err = raft.NewFileSnapshotStoreWithLogger(c.DataDir, retainedSnapshots, log); err != nil {
		store.Close()
		return nil, fmt.Errorf("snapshots in %s: %w", c.DataDir, err)
	}
	return d, nil
}

// claimDataFolder checks whose folder it is, and makes an empty one this replica's.
func claimDataFolder(c *Config) (fresh bool, err error) {
	path := filepath.Join(c.DataDir, identityFile)
	want := identity{1, c.Group, c.ID}
	text, err := os.ReadFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		names, err := os.ReadDir(c.DataDir)
		if err != nil {
			return false, fmt.Errorf("data folder: %w", err)
		}
		if len(names) > 0 {
			return false, fmt.Errorf("data folder %s: it holds %s but no %s: it is not a replica's", c.DataDir, names[0].Name(), identityFile)
		}
		return true, writeIdentity(path, want)
	case err != nil:
		return false, fmt.Errorf("data folder: %w", err)
	}
	var got identity
	if err := json.Unmarshal(text, &got); err != nil {
		return false, fmt.Errorf("%s: %w", path, err)
	}
	if got != want {
		return false, fmt.Errorf("data folder %s: it belongs to replica %q of group %q, this is %q of %q", c.DataDir, got.ID, got.Group, want.ID, want.Group)
	}
	_, err = os.Stat(filepath.Join(c.DataDir, logFile))
	return errors.Is(err, fs.ErrNotExist), nil
}

// writeIdentity writes the file whole or not at all.
func writeIdentity(path string, i identity) error {
	text, err := json.Marshal(i)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(path), "."+identityFile)
	if err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	_, err = f.Write(text)
	if err = errors.Join(err, f.Sync(), f.Close()); err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
		return fmt.Errorf("data folder: %w", err)
	}
	return nil
}

// checkLogFile reads the log's file through before it is used: a file that was cut or
// overwritten would end the process in the middle of its work.
func checkLogFile(path string) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // a file that is too short faults where it is mapped
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("log %s: spoilt: %v", path, p)
		}
	}()
	db, err := bolt.Open(path, 0o600, &bolt.Options{ReadOnly: true, Timeout: lockTimeout})
	if errors.Is(err, bolt.ErrTimeout) {
		return fmt.Errorf("log %s: in use by another process", path)
	} else if err != nil {
		return fmt.Errorf("log %s: spoilt: %w", path, err)
	}
	defer db.Close()
	return db.View(func(tx *bolt.Tx) error {
		if info, err := os.Stat(path); err != nil || info.Size() < tx.Size() {
			return fmt.Errorf("log %s: cut short: error %v", path, err)
		}
		return tx.ForEach(func(name []byte, b *bolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error { return nil })
		})
	})
}

// checkedLog keeps a checksum with each entry of the log, which the file has none of.
type checkedLog struct {
	*raftboltdb.BoltStore
	lastWriteError atomic.Pointer[error] // why the last write failed, if it did
}

// termKey is what Raft keeps the current term under.
const termKey = "CurrentTerm"

// termRetryInterval is between two tries to keep the term on a disk that is full.
const termRetryInterval = 50 * time.Millisecond

// waitingTermStore is where Raft keeps its term and its vote. Raft ends the process when the
// term cannot be kept; on a disk that is full it has to wait here instead, as a replica
// that takes no part, whose list is served on. A vote that cannot be kept is not given.
type waitingTermStore struct {
	raft.StableStore
	closing chan struct{}

	mu             sync.Mutex
	wanted, stored uint64 // the latest term that Raft wanted kept, and that is

	waiting atomic.Int64
}

func newWaitingTermStore(s raft.StableStore) *waitingTermStore {
	return &waitingTermStore{StableStore: s, closing: make(chan struct{})}
}

// SetUint64 keeps a number. It returns for a term when that is on disk.
func (p *waitingTermStore) SetUint64(key []byte, value uint64) error {
	if string(key) != termKey {
		return p.StableStore.SetUint64(key, value)
	}
	for tries := 0; ; tries++ {
		err := p.storeTerm(key, value)
		if err == nil {
			return nil
		}
		if tries == 0 {
			slog.Error("the term cannot be written: this replica takes no part until it can", "term", value, "err", err)
			p.waiting.Add(1)
			defer p.waiting.Add(-1)
		}
		select {
		case <-time.After(termRetryInterval):
		case <-p.closing:
			// Raft would end the process at an error, and go on in a term that is not kept at
			// none. Its goroutine ends here; Raft counts it out as it would at its return.
			runtime.Goexit()
		}
	}
}

// storeTerm writes the latest term that was wanted: Raft asks from two goroutines, and the one
// that waits longest must not be the last word.
func (p *waitingTermStore) storeTerm(key []byte, term uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wanted = max(p.wanted, term); term <= p.stored {
		return nil
	}
	err := p.StableStore.SetUint64(key, p.wanted)
	if err == nil {
		p.stored = p.wanted
	}
	return err
}

const checksumSize = 4 // bytes

func entryChecksum(l *raft.Log, data []byte) uint32 {
	var head [17]byte
	binary.BigEndian.PutUint64(head[:], l.Index)
	binary.BigEndian.PutUint64(head[8:], l.Term)
	head[16] = byte(l.Type)
	return crc32.Update(crc32.ChecksumIEEE(head[:]), crc32.IEEETable, data)
}

// StoreLog writes one entry.
func (c *checkedLog) StoreLog(l *raft.Log) error { return c.StoreLogs([]*raft.Log{l}) }

// StoreLogs writes entries, each with its checksum.
func (c *checkedLog) StoreLogs(logs []*raft.Log) error {
	checked := make([]*raft.Log, len(logs))
	for i, l := range logs {
		copied := *l
		copied.Data = binary.BigEndian.AppendUint32(append(make([]byte, 0, len(l.Data)+checksumSize), l.Data...), entryChecksum(l, l.Data))
		checked[i] = &copied
	}
	err := c.BoltStore.StoreLogs(checked)
	if err != nil {
		c.lastWriteError.Store(&err)
	} else {
		c.lastWriteError.Store(nil)
	}
	return err
}

// GetLog reads an entry, and fails where it is not what was written.
func (c *checkedLog) GetLog(index uint64, l *raft.Log) error {
	if err := c.BoltStore.GetLog(index, l); err != nil {
		return err
	}
	n := len(l.Data) - checksumSize
	if n < 0 || l.Index != index || entryChecksum(l, l.Data[:n]) != binary.BigEndian.Uint32(l.Data[n:]) {
		return fmt.Errorf("entry %d is spoilt", index)
	}
	l.Data = l.Data[:n]
	return nil
}

// verify reads every entry.
func (c *checkedLog) verify() error {
	first, err := c.FirstIndex()
	if err != nil {
		return err
	}
	last, err := c.LastIndex()
	if err != nil {
		return err
	}
	for i := first; i != 0 && i <= last; i++ {
		if err := c.GetLog(i, new(raft.Log)); err != nil {
			return fmt.Errorf("entry %d of %d to %d: %w", i, first, last, err)
		}
	}
	return nil
}
