package server

import "github.com/hashicorp/raft"

// timedSnapshotStore is a store of snapshots whose writes to the disk are among the
// replica's diskCalls.
type timedSnapshotStore struct {
	raft.SnapshotStore
	calls *diskCalls
}

// Create begins a snapshot.
func (s *timedSnapshotStore) Create(version raft.SnapshotVersion, index, term uint64, members raft.Configuration, membersIndex uint64, transport raft.Transport) (raft.SnapshotSink, error) {
	defer s.calls.begin("snapshot creation")()
	sink, err := s.SnapshotStore.Create(version, index, term, members, membersIndex, transport)
	if err != nil {
		return nil, err
	}
	return &timedSnapshotSink{sink, s.calls}, nil
}

// timedSnapshotSink is a snapshot that is being written.
type timedSnapshotSink struct {
	raft.SnapshotSink
	calls *diskCalls
}

// Write writes a part of the snapshot.
func (s *timedSnapshotSink) Write(part []byte) (int, error) {
	defer s.calls.begin("snapshot part")()
	return s.SnapshotSink.Write(part)
}

// Close syncs the snapshot and puts it in place.
func (s *timedSnapshotSink) Close() error {
	defer s.calls.begin("snapshot")()
	return s.SnapshotSink.Close()
}

// Cancel drops the snapshot.
func (s *timedSnapshotSink) Cancel() error {
	defer s.calls.begin("snapshot removal")()
	return s.SnapshotSink.Cancel()
}
