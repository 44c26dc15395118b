package server

import (
	"errors"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// replicationRetryInterval is the delay between attempts to send entries to a replica that
// cannot be reached or cannot store them.
const replicationRetryInterval = 100 * time.Millisecond

var (
	errNotLeaderInTerm = errors.New("this replica is not the leader in the term of the message")
	errTermNotStored   = errors.New("this replica waits for space on its disk to store a term")
	errDiskHangs       = errors.New("a write to this replica's disk does not return")
	errNotStored       = errors.New("the replica did not store the entries")
	errNotVoter        = errors.New("the replica is not in the group's configuration")
)

// leadershipClaim is the local state that decides whether a replica may act as leader.
type leadershipClaim struct {
	state       raft.RaftState
	term        uint64
	termPending bool          // a later term is waiting for disk space to be stored
	diskCall    time.Duration // how long the oldest log write has been running
}

// check returns an error if this replica must not send messages as leader of the given term. Raft's
// main goroutine may be blocked in a disk call while the replication goroutines keep running:
// their heartbeats would keep the other replicas from electing a leader that can write.
func (c leadershipClaim) check(term uint64, maxDiskCall time.Duration) error {
	switch {
	case c.state != raft.Leader || c.term != term:
		return errNotLeaderInTerm
	case c.termPending:
		return errTermNotStored
	case c.diskCall > maxDiskCall:
		return errDiskHangs
	}
	return nil
}

// leaderTransport is Raft's transport. It sends a leader's messages only while checkClaim
// succeeds, and retries sending entries at a constant interval.
type leaderTransport struct {
	*raft.NetworkTransport
	checkClaim func(term uint64) error
	isVoter    func(id raft.ServerID) bool

	mu      sync.Mutex
	failing map[raft.ServerID]bool // replicas to which the last attempt to replicate entries failed
}

func newLeaderTransport(network *raft.NetworkTransport, checkClaim func(term uint64) error, isVoter func(raft.ServerID) bool) *leaderTransport {
	return &leaderTransport{NetworkTransport: network, checkClaim: checkClaim, isVoter: isVoter, failing: make(map[raft.ServerID]bool)}
}

// isHeartbeat reports whether a message is a heartbeat: it has no entries, no previous entry and
// no commit index.
func isHeartbeat(args *raft.AppendEntriesRequest) bool {
	return len(args.Entries) == 0 && args.PrevLogEntry == 0 && args.LeaderCommitIndex == 0
}

// AppendEntries sends a heartbeat or entries. It retries entries until the replica has stored
// them or this replica is no longer the leader. Without that the Raft library would double its
// delay after each failed attempt, to over ten seconds, and notice a loss of leadership only
// after the delay.
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
		t.logReplicationChange(id, err)
		if err == nil {
			return nil
		}
		time.Sleep(replicationRetryInterval)
	}
}

// checkReplication returns an error if entries must no longer be sent to a replica.
func (t *leaderTransport) checkReplication(id raft.ServerID, term uint64) error {
	if !t.isVoter(id) {
		return errNotVoter
	}
	return t.checkClaim(term)
}

// storeFailed reports whether a replica rejected entries because it could not read or write its
// log. A replica whose log lacks earlier entries sets NoRetryBackoff instead to request them.
func storeFailed(args *raft.AppendEntriesRequest, resp *raft.AppendEntriesResponse) bool {
	return !resp.Success && !resp.NoRetryBackoff && resp.Term == args.Term
}

// logReplicationChange logs when replication to a replica starts to fail and when it resumes.
func (t *leaderTransport) logReplicationChange(id raft.ServerID, err error) {
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

// AppendEntriesPipeline opens a pipeline that checks leadership before each message.
func (t *leaderTransport) AppendEntriesPipeline(id raft.ServerID, target raft.ServerAddress) (raft.AppendPipeline, error) {
	pipeline, err := t.NetworkTransport.AppendEntriesPipeline(id, target)
	if err != nil {
		return nil, err
	}
	return &leaderPipeline{AppendPipeline: pipeline, checkClaim: t.checkClaim}, nil
}

// InstallSnapshot sends a snapshot. It checks leadership first, since a replica treats a snapshot
// as contact with the leader, like a heartbeat.
func (t *leaderTransport) InstallSnapshot(id raft.ServerID, target raft.ServerAddress, args *raft.InstallSnapshotRequest, resp *raft.InstallSnapshotResponse, data io.Reader) error {
	if err := t.checkClaim(args.Term); err != nil {
		return err
	}
	return t.NetworkTransport.InstallSnapshot(id, target, args, resp, data)
}

// leaderPipeline is a pipeline that sends messages only while checkClaim succeeds.
type leaderPipeline struct {
	raft.AppendPipeline
	checkClaim func(term uint64) error
}

// AppendEntries sends entries, or only the commit index.
func (p *leaderPipeline) AppendEntries(args *raft.AppendEntriesRequest, resp *raft.AppendEntriesResponse) (raft.AppendFuture, error) {
	if err := p.checkClaim(args.Term); err != nil {
		return nil, err
	}
	return p.AppendPipeline.AppendEntries(args, resp)
}
