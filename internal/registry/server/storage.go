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
	lockTimeout       = time.Second // for another process to release the log
	retainedSnapshots = 2           // one may prove corrupt
	unfinishedSuffix  = ".new"      // of a log's file that is being made
)

// storage is what a replica has on disk: Raft's log, terms and votes in one BoltDB file,
// snapshots, and the identity of the folder.
type storage struct {
	bolt             *raftboltdb.BoltStore
	log              *checkedLog       // in bolt
	terms            *waitingTermStore // in bolt
	snapshots        raft.SnapshotStore
	isNew            bool // the folder held no log
	foundingCutShort bool // a founder's folder held a log without history

	refuseWritesOnce sync.Once
}

// openStorage opens the data folder. It refuses one that is another replica's or that
// cannot be read completely: an acknowledged write must not be lost without notice.
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
	store, err := raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: &bolt.Options{Timeout: lockTimeout}})
	if errors.Is(err, bolt.ErrTimeout) {
		return nil, lockedError(path)
	} else if err != nil {
		return nil, fmt.Errorf("log %s: %w", path, err)
	}
	_ = os.Remove(path + unfinishedSuffix) // left by a start that was ended; usually there is none
	s := &storage{bolt: store, terms: newWaitingTermStore(store), isNew: claim.isNew}
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
		if s.foundingCutShort, err = s.lacksHistory(); err != nil {
			s.Close()
			return nil, fmt.Errorf("log %s: %w", path, err)
		}
	}
	return s, nil
}

// verify reads the whole log.
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

// lacksHistory reports whether there is neither an entry nor a snapshot, and no term beyond the
// one in which a group is founded: a founder was ended before it had founded its group.
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

// createLogFile makes an empty log at a path, completely or not at all: a replica that is
// ended meanwhile begins anew.
func createLogFile(path string) error {
	unfinished := path + unfinishedSuffix
	if err := os.Remove(unfinished); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("log %s: %w", path, err)
	}
	store, err := raftboltdb.New(raftboltdb.Options{Path: unfinished, BoltOptions: &bolt.Options{Timeout: lockTimeout}})
	if err != nil {
		return fmt.Errorf("log %s: %w", path, err)
	}
	err = store.Close()
	if err == nil {
		err = os.Link(unfinished, path) // not renamed: the log of another process would be replaced
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

// syncFolder has the disk keep the names of a folder's files.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// refuseWrites refuses the log, the terms and the votes that have not begun to be written.
// Raft takes each of them for one that could not be stored.
func (s *storage) refuseWrites() {
	s.refuseWritesOnce.Do(func() {
		s.terms.calls.refuseWrites()
		close(s.terms.closing)
	})
}

// Close releases the log. The other parts hold no resources.
func (s *storage) Close() error { return s.bolt.Close() }

func lockedError(path string) error {
	return fmt.Errorf("log %s: in use by another process", path)
}

// checkLogFile reads the log's file completely before it is used: BoltDB maps the file,
// and one that was truncated or overwritten would crash the process in the middle of its
// work.
func checkLogFile(path string) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // a truncated file faults where it is mapped
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("log %s: corrupt: %v", path, p)
		}
	}()
	db, err := bolt.Open(path, 0o600, &bolt.Options{ReadOnly: true, Timeout: lockTimeout})
	if errors.Is(err, bolt.ErrTimeout) {
		return lockedError(path)
	} else if err != nil {
		return fmt.Errorf("log %s: corrupt: %w", path, err)
	}
	defer db.Close()
	return db.View(func(tx *bolt.Tx) error { return readBuckets(tx, path) })
}

// readBuckets reads every entry of the log's file.
func readBuckets(tx *bolt.Tx, path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return fmt.Errorf("log %s: %w", path, err)
	}
	if info.Size() < tx.Size() {
		return fmt.Errorf("log %s: cut short: %d bytes of %d", path, info.Size(), tx.Size())
	}
	return tx.ForEach(func(_ []byte, bucket *bolt.Bucket) error {
		return bucket.ForEach(func(_, _ []byte) error { return nil })
	})
}
