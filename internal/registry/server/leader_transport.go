package server

import (
	"errors"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// replicationRetryInterval is the time between two tries to send entries to a replica
// that cannot be reached or cannot store them.
const replicationRetryInterval = 100 * time.Millisecond

var (
	errLeadsNoLonger = errors.New("this replica does not lead in the term of the message")
	errTermWaits     = errors.New("this replica waits for space on its disk to store a term")
	errDiskHangs     = errors.New("a write to this replica's disk does not return")
	errNotStored     = errors.New("the replica does not store the entries")
	errNoVoter       = errors.New("the replica is not in the group's configuration")
)

// leadershipClaim is what a replica knows of its own claim to lead.
type leadershipClaim struct {
	state     raft.RaftState
	term      uint64
	termWaits bool          // a later term waits for space on the disk
	diskCall  time.Duration // for how long a write to the disk has been running
}

// check returns an error if a message that says this replica leads in a term must not be
// sent. Raft's own goroutine may be stuck in a call of the disk, while the goroutines that
// replicate go on: with heartbeats alone they would keep the other replicas from electing
// a leader that can write.
func (c leadershipClaim) check(term uint64, maxDiskCall time.Duration) error {
	switch {
	case c.state != raft.Leader || c.term != term:
		return errLeadsNoLonger
	case c.termWaits:
		return errTermWaits
	case c.diskCall > maxDiskCall:
		return errDiskHangs
	}
	return nil
}

// leaderTransport is Raft's transport. A leader's messages are sent only as long as the
// replica's claim to lead holds, and entries are sent again at a constant interval.
type leaderTransport struct {
	*raft.NetworkTransport
	checkClaim func(term uint64) error
	isVoter    func(id raft.ServerID) bool

	mu      sync.Mutex
	failing map[raft.ServerID]bool // entries cannot be sent there, or are not stored
}

func newLeaderTransport(network *raft.NetworkTransport, checkClaim func(term uint64) error, isVoter func(raft.ServerID) bool) *leaderTransport {
	return &leaderTransport{NetworkTransport: network, checkClaim: checkClaim, isVoter: isVoter, failing: make(map[raft.ServerID]bool)}
}

// isHeartbeat reports whether a message is a heartbeat: it carries no entries, and nothing
// of the log.
func isHeartbeat(args *raft.AppendEntriesRequest) bool {
	return len(args.Entries) == 0 && args.PrevLogEntry == 0 && args.LeaderCommitIndex == 0
}

// AppendEntries sends a heartbeat or entries. Entries are sent until the replica has
// stored them or this one leads no longer: the library doubles its pause after each try
// that fails, to over ten seconds, and notices the end of its leadership only afterwards.
func (t *leaderTransport) AppendEntries(id raft.ServerID, target raft.ServerAddress, args *raft.AppendEntriesRequest, resp *raft.AppendEntriesResponse) error {
	if isHeartbeat(args) {
		if err := t.checkClaim(args.Term); err != nil {
			return err
		}
		return t.NetworkTransport.AppendEntries(id, target, args, resp)
	}
	for {
		if err := t.checkReplication(id, args.Term); err != nil {
			return err
		}
		*resp = raft.AppendEntriesResponse{}
		err := t.NetworkTransport.AppendEntries(id, target, args, resp)
		if err == nil && storeFailed(args, resp) {
			err = errNotStored
		}
		t.noteReplication(id, err)
		if err == nil {
			return nil
		}
		time.Sleep(replicationRetryInterval)
	}
}

// checkReplication returns an error if entries must not be sent to a replica any more.
func (t *leaderTransport) checkReplication(id raft.ServerID, term uint64) error {
	if !t.isVoter(id) {
		return errNoVoter
	}
	return t.checkClaim(term)
}

// storeFailed reports whether a replica refused entries because it could not read or write
// its log. Where its log lacks what comes before, it asks for that without a pause.
func storeFailed(args *raft.AppendEntriesRequest, resp *raft.AppendEntriesResponse) bool {
	return !resp.Success && !resp.NoRetryBackoff && resp.Term == args.Term
}

// noteReplication logs when replication to a replica begins to fail and when it goes on.
func (t *leaderTransport) noteReplication(id raft.ServerID, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch failed := t.failing[id]; {
	case err != nil && !failed:
		slog.Warn("raft: replication fails, retrying", "replica", id, "err", err)
	case err == nil && failed:
		slog.Info("raft: replication resumed", "replica", id)
	}
	t.failing[id] = err != nil
}

// AppendEntriesPipeline opens a pipeline whose messages are checked like others.
func (t *leaderTransport) AppendEntriesPipeline(id raft.ServerID, target raft.ServerAddress) (raft.AppendPipeline, error) {
	pipeline, err := t.NetworkTransport.AppendEntriesPipeline(id, target)
	if err != nil {
		return nil, err
	}
	return &leaderPipeline{AppendPipeline: pipeline, checkClaim: t.checkClaim}, nil
}

// InstallSnapshot sends a snapshot, which a replica takes for a sign of a leader, too.
func (t *leaderTransport) InstallSnapshot(id raft.ServerID, target raft.ServerAddress, args *raft.InstallSnapshotRequest, resp *raft.InstallSnapshotResponse, data io.Reader) error {
	if err := t.checkClaim(args.Term); err != nil {
		return err
	}
	return t.NetworkTransport.InstallSnapshot(id, target, args, resp, data)
}

// leaderPipeline is a pipeline whose messages are sent only as long as this replica's
// claim to lead holds.
type leaderPipeline struct {
	raft.AppendPipeline
	checkClaim func(term uint64) error
}

// AppendEntries sends entries, or tells the commit index.
func (p *leaderPipeline) AppendEntries(args *raft.AppendEntriesRequest, resp *raft.AppendEntriesResponse) (raft.AppendFuture, error) {
	if err := p.checkClaim(args.Term); err != nil {
		return nil, err
	}
	return p.AppendPipeline.AppendEntries(args, resp)
}
