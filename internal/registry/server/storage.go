package server

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	bolt "go.etcd.io/bbolt"
)

const (
	logLockTimeout      = time.Second // wait for another process to release the lock of the log file
	retainedSnapshots   = 2           // a spare in case one is corrupt
	unfinishedLogSuffix = ".new"      // name suffix of a log file that is being created
)

// storage is a replica's data folder: Raft's log, terms and votes in one BoltDB file, the
// snapshots, and the identity file.
type storage struct {
	bolt                *raftboltdb.BoltStore
	log                 *checkedLog        // stored in bolt
	terms               *retryingTermStore // stored in bolt
	snapshots           raft.SnapshotStore
	isNew               bool // the folder held no log
	foundingInterrupted bool // a founder's folder held a log without entries: bootstrap was interrupted

	refuseWritesOnce sync.Once
}

// openStorage opens the data folder. It returns an error if the folder belongs to another replica
// or cannot be read completely: an acknowledged write must not be lost silently.
func openStorage(c *Config, logger *raftLogger) (*storage, error) {
	if err := os.MkdirAll(c.DataDir, 0o700); err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	claim, err := claimDataFolder(c)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(c.DataDir, logFile)
	if claim.isNew {
		err = createLogFile(path)
	} else {
		err = checkLogFile(path)
	}
	if err != nil {
		return nil, err
	}
	store, err := raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: &bolt.Options{Timeout: logLockTimeout}})
	if errors.Is(err, bolt.ErrTimeout) {
		return nil, lockedError(path)
	} else if err != nil {
		return nil, fmt.Errorf("log %s: %w", path, err)
	}
	_ = os.Remove(path + unfinishedLogSuffix) // left by an interrupted start; usually there is none
	s := &storage{bolt: store, terms: newRetryingTermStore(store), isNew: claim.isNew}
	s.log = &checkedLog{BoltStore: store, calls: s.terms.calls}
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(c.DataDir, retainedSnapshots, logger)
	if err != nil {
		s.Close()
		return nil, fmt.Errorf("snapshots in %s: %w", c.DataDir, err)
	}
	s.snapshots = &timedSnapshotStore{snapshots, s.terms.calls}
	if err := s.verify(); err != nil {
		s.Close()
		return nil, fmt.Errorf("log %s: %w", path, err)
	}
	if !claim.isNew && claim.founder {
		if s.foundingInterrupted, err = s.lacksHistory(); err != nil {
			s.Close()
			return nil, fmt.Errorf("log %s: %w", path, err)
		}
	}
	return s, nil
}

// verify reads and checks the whole log.
func (s *storage) verify() error {
	snapshots, err := s.snapshots.List()
	if err != nil {
		return err
	}
	var snapshotIndex uint64
	if len(snapshots) > 0 { // the newest comes first
		snapshotIndex = snapshots[0].Index
	}
	return s.log.verify(snapshotIndex)
}

// lacksHistory reports whether there is no entry, no snapshot, and no term beyond foundingTerm. A
// founder's folder is in this state if the process ended before it had founded its group.
func (s *storage) lacksHistory() (bool, error) {
	last, err := s.log.LastIndex()
	if err != nil || last > 0 {
		return false, err
	}
	term, err := s.terms.GetUint64([]byte(termKey))
	if err != nil && !errors.Is(err, raftboltdb.ErrKeyNotFound) || term > foundingTerm {
		return false, err
	}
	snapshots, err := s.snapshots.List()
	return len(snapshots) == 0, err
}

// createLogFile creates an empty log file atomically. A replica that ends meanwhile creates it
// again at its next start.
func createLogFile(path string) error {
	unfinished := path + unfinishedLogSuffix
	if err := os.Remove(unfinished); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("log %s: %w", path, err)
	}
	store, err := raftboltdb.New(raftboltdb.Options{Path: unfinished, BoltOptions: &bolt.Options{Timeout: logLockTimeout}})
	if err != nil {
		return fmt.Errorf("log %s: %w", path, err)
	}
	err = store.Close()
	if err == nil {
		err = os.Link(unfinished, path) // unlike a rename, a link does not replace the log of another process
	}
	if errors.Is(err, fs.ErrExist) {
		return lockedError(path)
	}
	if err == nil {
		err = errors.Join(os.Remove(unfinished), syncFolder(filepath.Dir(path)))
	}
	if err != nil {
		return fmt.Errorf("log %s: %w", path, err)
	}
	return nil
}

// syncFolder syncs a folder's directory entries to disk.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// refuseWrites disables writes of log entries, terms and votes that have not begun. To Raft each
// of them is a failed write.
func (s *storage) refuseWrites() {
	s.refuseWritesOnce.Do(func() {
		s.terms.calls.refuseWrites()
		close(s.terms.closing)
	})
}

// Close closes the BoltDB file. The other parts hold no resources.
func (s *storage) Close() error { return s.bolt.Close() }

func lockedError(path string) error {
	return fmt.Errorf("log %s: in use by another process", path)
}

// checkLogFile reads the log file completely before it is used: BoltDB maps the file into memory,
// and a truncated or overwritten file would crash the process later.
func checkLogFile(path string) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // reading the mapping of a truncated file faults
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("log %s: corrupt: %v", path, p)
		}
	}()
	db, err := bolt.Open(path, 0o600, &bolt.Options{ReadOnly: true, Timeout: logLockTimeout})
	if errors.Is(err, bolt.ErrTimeout) {
		return lockedError(path)
	} else if err != nil {
		return fmt.Errorf("log %s: corrupt: %w", path, err)
	}
	defer db.Close()
	return db.View(func(tx *bolt.Tx) error { return readBuckets(tx, path) })
}

// readBuckets checks the size of the log file and reads every key and value.
func readBuckets(tx *bolt.Tx, path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return fmt.Errorf("log %s: %w", path, err)
	}
	if info.Size() < tx.Size() {
		return fmt.Errorf("log %s: truncated: got %d bytes, want %d", path, info.Size(), tx.Size())
	}
	return tx.ForEach(func(_ []byte, bucket *bolt.Bucket) error {
		return bucket.ForEach(func(_, _ []byte) error { return nil })
	})
}
