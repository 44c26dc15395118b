package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/raft"

	"barleywick/internal/registry"
)

const (
	// staleAfterElectionTimeouts is the number of election timeouts after the last
	// confirmation for which a replica reports its reads as current.
	staleAfterElectionTimeouts = 3
	// confirmationsPerElectionTimeout is the approximate number of times per election timeout
	// that a replica requests the leader's commit index.
	confirmationsPerElectionTimeout = 4
	// appliedPollInterval is the interval at which the applied index is polled.
	appliedPollInterval = time.Millisecond
	// maxCommitResponseBytes bounds the body of another replica's response to commit or status.
	maxCommitResponseBytes = 16 << 10
)

var (
	errNotReady = errors.New("this replica has not caught up with its group yet")
	errNoLeader = errors.New("no leader is known: this replica has no contact with a quorum")
	// errApplyTimeout is returned if entries committed by the group are not applied on this
	// replica before the timeout: they were not received or not stored, or the state machine is slow.
	errApplyTimeout = errors.New("timed out waiting for committed log entries to be applied")
)

// maxReadAge is the maximum age of the last confirmation for reads to be reported as current.
func (r *Replica) maxReadAge() time.Duration {
	return staleAfterElectionTimeouts * r.config.Load().electionTimeout()
}

// freshness returns the freshness of reads from this replica, registry.ReadCurrent or
// registry.ReadStale, and their age: writes acknowledged within that time may be missing.
func (r *Replica) freshness(now time.Time) (freshness string, age time.Duration) {
	if r.raft.State() == raft.Leader && len(r.voters()) == 1 {
		return registry.ReadCurrent, 0 // no other replica can have acknowledged a write
	}
	return r.reads.At(now, r.maxReadAge())
}

// linearize returns once this replica is verified to be the leader and has applied every
// write that any replica had acknowledged before the call.
func (r *Replica) linearize() error {
	commit, err := r.verifiedCommitIndex()
	if err != nil {
		return err
	}
	return r.awaitApplied(r.ctx, commit, writeTimeout)
}

// verifiedCommitIndex returns the commit index of this replica, after verifying that the
// replica was the leader at some time after the call began. The index covers every write
// acknowledged before the call.
func (r *Replica) verifiedCommitIndex() (uint64, error) {
	term, err := r.requireLeaderTerm()
	if err != nil {
		return 0, err
	}
	commit := r.raft.CommitIndex()
	if err := r.verifyLeadership(); err != nil {
		return 0, err
	}
	// Leadership may have been lost and regained after the index was read. The index does
	// not cover entries that another leader committed in between.
	if currentTerm, err := r.requireLeaderTerm(); err != nil || currentTerm != term {
		return 0, errNewLeader
	}
	return commit, nil
}

// awaitApplied waits until all commands up to a log index are applied to the state.
func (r *Replica) awaitApplied(ctx context.Context, index uint64, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); !r.stateHolds(index); {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errApplyTimeout
		}
		time.Sleep(appliedPollInterval)
	}
	return nil
}

// stateHolds reports whether all commands up to a committed log index are applied to the
// state. Raft's applied index is not sufficient: it includes entries that were passed to the
// goroutine that applies them and may not be applied yet.
func (r *Replica) stateHolds(index uint64) bool {
	if r.raft.AppliedIndex() < index {
		return false // the index covers a restored snapshot only once it is loaded into the state
	}
	held := max(r.stateMachine.applied.Load(), r.heldIndex.Load())
	for i := index; i > held; i-- {
		var entry raft.Log
		err := r.storage.log.GetLog(i, &entry)
		if errors.Is(err, raft.ErrLogNotFound) {
			break // compacted: covered by a snapshot that was taken of the state or restored into it
		}
		if err != nil || entry.Type == raft.LogCommand && i > r.snapshotIndex() {
			return false
		}
	}
	r.heldIndex.Store(max(r.heldIndex.Load(), index))
	return true
}

// snapshotIndex returns the log index of the last snapshot that was taken of the state or
// restored into it, or 0 if there is none.
func (r *Replica) snapshotIndex() uint64 {
	index, err := strconv.ParseUint(r.raft.Stats()["last_snapshot_index"], 10, 64)
	if err != nil {
		return 0
	}
	return index
}

// confirmReads periodically confirms the freshness of this replica's reads until the replica
// is closed. The first confirmation makes the replica ready: before that, it could serve
// watchers a list older than the one they already have.
func (r *Replica) confirmReads() {
	for r.ctx.Err() == nil {
		err := r.confirmReadsOnce()
		r.readsError.Store(&err)
		interval := r.config.Load().electionTimeout() / confirmationsPerElectionTimeout
		select {
		case <-time.After(interval/2 + rand.N(interval)):
		case <-r.ctx.Done():
		}
	}
}

// confirmReadsOnce requests the leader's commit index, and waits until this replica has
// applied the log up to it.
func (r *Replica) confirmReadsOnce() error {
	requestedAt := time.Now()
	ctx, cancel := context.WithTimeout(r.ctx, r.config.Load().electionTimeout())
	defer cancel()
	commit, err := r.leaderCommitIndex(ctx)
	if err != nil {
		return err
	}
	if err := r.awaitApplied(r.ctx, commit, r.maxReadAge()); err != nil {
		return err
	}
	if r.reads.Confirm(requestedAt) {
		r.ready.Store(true)
		slog.Info("registry: ready", "seq", r.stateMachine.seq())
	}
	return nil
}

// leaderCommitIndex returns a log index that covers every write the group had acknowledged
// before the call.
func (r *Replica) leaderCommitIndex(ctx context.Context) (uint64, error) {
	_, id := r.raft.LeaderWithID()
	if string(id) == r.self.ID {
		return r.verifiedCommitIndex()
	}
	var commit registry.CommitResponse
	status, err := r.callReplica(ctx, string(id), "commit", &commit)
	if status != http.StatusNotFound {
		return commit.CommitIndex, err
	}
	// The leader runs an earlier version without this endpoint; its status has the applied index.
	var applied registry.StatusResponse
	_, err = r.callReplica(ctx, string(id), "status?linearizable=1", &applied)
	return applied.Applied, err
}

// serveCommit responds with a log index that covers every write acknowledged before the
// call. It bypasses the call limiter: an overloaded leader is still the leader, and its
// followers must be able to confirm their reads.
func (r *Replica) serveCommit(w http.ResponseWriter, req *http.Request) {
	commit, err := r.verifiedCommitIndex()
	if err != nil {
		r.writeError(w, req, err)
		return
	}
	writeResponse(w, registry.ReadLinearizable, registry.CommitResponse{CommitIndex: commit})
}

// callReplica sends a GET request of the API to another replica and decodes the response.
// The status is 0 if there was no response.
func (r *Replica) callReplica(ctx context.Context, id, path string, response any) (status int, err error) {
	replica, ok := r.findReplica(id)
	if !ok {
		return 0, errNoLeader
	}
	req, err := r.newPeerCall(ctx, replica, path)
	if err != nil {
		return 0, err
	}
	resp, err := r.peerClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, fmt.Errorf("the leader responded with status %d", resp.StatusCode)
	}
	return resp.StatusCode, json.NewDecoder(io.LimitReader(resp.Body, maxCommitResponseBytes)).Decode(response)
}

// leaderListVersion returns the version of the leader's list.
func (r *Replica) leaderListVersion() (uint64, error) {
	_, id := r.raft.LeaderWithID()
	if string(id) == r.self.ID {
		if err := r.linearize(); err != nil {
			return 0, err
		}
		return r.stateMachine.seq(), nil
	}
	var status registry.StatusResponse
	_, err := r.callReplica(r.ctx, string(id), "status?linearizable=1", &status)
	return status.Seq, err
}

// endWatchesWhenStale ends the open watches each time this replica becomes stale, so that
// watchers with another address switch to it. Watchers without one reconnect, and learn from
// the response header that the list is stale.
func (r *Replica) endWatchesWhenStale() {
	tick := time.NewTicker(r.config.Load().electionTimeout() / 2)
	defer tick.Stop()
	last := registry.ReadCurrent
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-tick.C: // the received time is not used: it may predate a suspension of the process
		}
		freshness, age := r.freshness(time.Now())
		switch {
		case freshness == last:
		case freshness == registry.ReadCurrent:
			slog.Info("registry: reads are current again")
		case r.ready.Load():
			slog.Warn("registry: reads are stale", "age", age, "err", r.staleReason())
			r.broadcaster.endWatches()
		}
		last = freshness
	}
}

// staleReason returns the error of the latest attempt to confirm reads, as far as it is known.
func (r *Replica) staleReason() error {
	if failed := r.storage.log.lastWriteError.Load(); failed != nil {
		return fmt.Errorf("this replica cannot write its log: %w", *failed)
	}
	if failed := r.readsError.Load(); failed != nil && *failed != nil {
		return *failed
	}
	return errNoLeader
}
