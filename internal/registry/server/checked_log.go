package server

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"sync/atomic"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

const (
	checksumSize   = 4         // bytes appended to an entry's data
	logHeaderBytes = 8 + 8 + 1 // index, term and type of an entry
)

// checkedLog is Raft's log with a checksum per entry, since BoltDB does not checksum its values.
type checkedLog struct {
	*raftboltdb.BoltStore
	calls          *diskCalls
	lastWriteError atomic.Pointer[error] // nil if the last write succeeded
}

// entryChecksum returns the checksum over an entry's index, term and type and the given data.
func entryChecksum(entry *raft.Log, data []byte) uint32 {
	var header [logHeaderBytes]byte
	binary.BigEndian.PutUint64(header[:], entry.Index)
	binary.BigEndian.PutUint64(header[8:], entry.Term)
	header[16] = byte(entry.Type)
	return crc32.Update(crc32.ChecksumIEEE(header[:]), crc32.IEEETable, data)
}

// StoreLog writes one entry with its checksum.
func (l *checkedLog) StoreLog(entry *raft.Log) error { return l.StoreLogs([]*raft.Log{entry}) }

// StoreLogs writes entries, each with its checksum.
func (l *checkedLog) StoreLogs(entries []*raft.Log) error {
	checked := make([]*raft.Log, len(entries))
	for i, entry := range entries {
		withChecksum := *entry
		data := append(make([]byte, 0, len(entry.Data)+checksumSize), entry.Data...)
		withChecksum.Data = binary.BigEndian.AppendUint32(data, entryChecksum(entry, entry.Data))
		checked[i] = &withChecksum
	}
	return l.write("log entries", func() error { return l.BoltStore.StoreLogs(checked) })
}

// DeleteRange deletes the entries from index first to index last, inclusive.
func (l *checkedLog) DeleteRange(first, last uint64) error {
	return l.write("log compaction", func() error { return l.BoltStore.DeleteRange(first, last) })
}

// write runs a write of the log file and records its result in lastWriteError.
func (l *checkedLog) write(name string, write func() error) error {
	return l.calls.write(name, func() error {
		err := write()
		if err != nil {
			l.lastWriteError.Store(&err)
		} else {
			l.lastWriteError.Store(nil)
		}
		return err
	})
}

// GetLog reads an entry, and returns an error if its index or checksum does not match.
func (l *checkedLog) GetLog(index uint64, entry *raft.Log) error {
	if err := l.BoltStore.GetLog(index, entry); err != nil {
		return err
	}
	n := len(entry.Data) - checksumSize
	if n < 0 || entry.Index != index || entryChecksum(entry, entry.Data[:n]) != binary.BigEndian.Uint32(entry.Data[n:]) {
		return fmt.Errorf("entry %d is corrupt", index)
	}
	entry.Data = entry.Data[:n]
	return nil
}

// verify reads every entry. Entries up to snapshotIndex, the last index of the newest snapshot, may
// be missing: a replica that lags installs a snapshot and stores only the entries that follow it.
func (l *checkedLog) verify(snapshotIndex uint64) error {
	first, err := l.FirstIndex()
	if err != nil {
		return err
	}
	last, err := l.LastIndex()
	if err != nil {
		return err
	}
	for i := first; i != 0 && i <= last; i++ {
		err := l.GetLog(i, new(raft.Log))
		if errors.Is(err, raft.ErrLogNotFound) && i <= snapshotIndex {
			continue
		}
		if err != nil {
			return fmt.Errorf("entry %d of %d to %d: %w", i, first, last, err)
		}
	}
	return nil
}
