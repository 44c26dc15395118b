package server

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
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
