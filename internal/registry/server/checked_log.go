package server

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"sync/atomic"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

// checkedLog keeps a checksum with each entry of the log, which the file has none of.
type checkedLog struct {
	*raftboltdb.BoltStore
	lastWriteError atomic.Pointer[error] // why the last write failed, if it did
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
