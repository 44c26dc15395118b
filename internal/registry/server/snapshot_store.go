package server

import (
	"io"

	"github.com/hashicorp/raft"
)

// timedSnapshotStore is a snapshot store that tracks its disk calls in the replica's diskCalls.
type timedSnapshotStore struct {
	raft.SnapshotStore
	calls *diskCalls
}

// Create starts writing a snapshot.
func (s *timedSnapshotStore) Create(version raft.SnapshotVersion, index, term uint64, members raft.Configuration, membersIndex uint64, transport raft.Transport) (raft.SnapshotSink, error) {
	defer s.calls.begin("snapshot creation")()
	sink, err := s.SnapshotStore.Create(version, index, term, members, membersIndex, transport)
	if err != nil {
		return nil, err
	}
	return &timedSnapshotSink{sink, s.calls}, nil
}

// Open opens a snapshot.
func (s *timedSnapshotStore) Open(id string) (*raft.SnapshotMeta, io.ReadCloser, error) {
	defer s.calls.begin("snapshot opening")()
	meta, reader, err := s.SnapshotStore.Open(id)
	if err != nil {
		return nil, nil, err
	}
	return meta, &timedReader{reader, s.calls}, nil
}

// timedReader reads a snapshot and tracks its disk calls.
type timedReader struct {
	io.ReadCloser
	calls *diskCalls
}

// Read reads a part of the snapshot.
func (r *timedReader) Read(part []byte) (int, error) {
	defer r.calls.begin("snapshot read")()
	return r.ReadCloser.Read(part)
}

// timedSnapshotSink writes a snapshot and tracks its disk calls.
type timedSnapshotSink struct {
	raft.SnapshotSink
	calls *diskCalls
}

// Write writes a part of the snapshot.
func (s *timedSnapshotSink) Write(part []byte) (int, error) {
	defer s.calls.begin("snapshot part")()
	return s.SnapshotSink.Write(part)
}

// Close syncs the snapshot to disk and makes it available.
func (s *timedSnapshotSink) Close() error {
	defer s.calls.begin("snapshot")()
	return s.SnapshotSink.Close()
}

// Cancel discards the snapshot.
func (s *timedSnapshotSink) Cancel() error {
	defer s.calls.begin("snapshot removal")()
	return s.SnapshotSink.Cancel()
}
