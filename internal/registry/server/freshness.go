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
	// staleElections is for how many election timeouts after its last evidence a replica
	// calls its reads current.
	staleElections = 3
	// confirmationsPerElection is how often within an election timeout a replica asks the
	// leader for its commit index.
	confirmationsPerElection = 4
	// appliedPollInterval is how often a linearizable read looks whether the log is applied.
	appliedPollInterval = time.Millisecond
	// maxCommitAnswer bounds the answer to a call for the commit index, in bytes.
	maxCommitAnswer = 16 << 10
)

var (
	errNotReady = errors.New("this replica has not caught up with its group yet")
	errNoLeader = errors.New("no leader is known: this replica has no contact with a quorum")
	// errAppliedTooSlowly says that entries which the group has committed are not applied
	// here: they were not received, or not stored, or the state machine is slow.
	errAppliedTooSlowly = errors.New("the log is applied too slowly")
)

// maxReadAge is how old the evidence for a read that is called current may be.
func (r *Replica) maxReadAge() time.Duration {
	return staleElections * r.config.Load().electionTimeout()
}

// freshness returns how fresh reads from this replica are: registry.ReadCurrent or
// registry.ReadStale, and for how long there may be writes that they do not show.
func (r *Replica) freshness(now time.Time) (freshness string, age time.Duration) {
	if r.raft.State() == raft.Leader && len(r.voters()) == 1 {
		return registry.ReadCurrent, 0 // nobody else can have acknowledged anything
	}
	return r.reads.At(now, r.maxReadAge())
}

// linearize returns once this replica is verified to lead and has applied everything
// that any replica had acknowledged when the call began.
func (r *Replica) linearize() error {
	commit, err := r.verifiedCommitIndex()
	if err != nil {
		return err
	}
	return r.awaitApplied(r.ctx, commit, writeTimeout)
}

// verifiedCommitIndex returns the commit index of this replica once it is verified that
// it led when the call began or later. It covers all that was acknowledged before the call.
func (r *Replica) verifiedCommitIndex() (uint64, error) {
	term, err := r.requireLeaderTerm()
	if err != nil {
		return 0, err
	}
	commit := r.raft.CommitIndex()
	if err := r.verifyLeadership(); err != nil {
		return 0, err
	}
	// Leadership may have been lost after the index was read, and won again: entries
	// that another leader committed in between are not within that index.
	if now, err := r.requireLeaderTerm(); err != nil || now != term {
		return 0, errNewLeader
	}
	return commit, nil
}

// awaitApplied waits until the state holds the log up to an index.
func (r *Replica) awaitApplied(ctx context.Context, index uint64, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); !r.stateHolds(index); {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errAppliedTooSlowly
		}
		time.Sleep(appliedPollInterval)
	}
	return nil
}

// stateHolds reports whether the state holds all commands of the log up to an index that is
// committed. Raft's own applied index does not tell: it counts what was handed to the
// goroutine that applies, which may be behind.
func (r *Replica) stateHolds(index uint64) bool {
	if r.raft.AppliedIndex() < index {
		return false // restored snapshots are within this index only once they are in the state
	}
	held := max(r.stateMachine.applied.Load(), r.heldIndex.Load())
	for i := index; i > held; i-- {
		var entry raft.Log
		err := r.storage.log.GetLog(i, &entry)
		if errors.Is(err, raft.ErrLogNotFound) {
			break // compacted: it is in a snapshot, which was taken of the state or is in it
		}
		if err != nil || entry.Type == raft.LogCommand && i > r.snapshotIndex() {
			return false
		}
	}
	r.heldIndex.Store(max(r.heldIndex.Load(), index))
	return true
}

// snapshotIndex returns the index of the last snapshot that was taken of the state or
// restored into it; 0 if there is none.
func (r *Replica) snapshotIndex() uint64 {
	index, err := strconv.ParseUint(r.raft.Stats()["last_snapshot_index"], 10, 64)
	if err != nil {
		return 0
	}
	return index
}

// confirmReads gathers evidence for how fresh this replica's reads are, until it is
// closed. The first evidence makes it ready: before, it would show watchers a list older
// than the one they have.
func (r *Replica) confirmReads() {
	for r.ctx.Err() == nil {
		err := r.confirmReadsOnce()
		r.readsError.Store(&err)
		interval := r.config.Load().electionTimeout() / confirmationsPerElection
		select {
		case <-time.After(interval/2 + rand.N(interval)):
		case <-r.ctx.Done():
		}
	}
}

// confirmReadsOnce asks the leader for its commit index, and waits until the log is
// applied up to it here.
func (r *Replica) confirmReadsOnce() error {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(r.ctx, r.config.Load().electionTimeout())
	defer cancel()
	commit, err := r.leaderCommitIndex(ctx)
	if err != nil {
		return err
	}
	if err := r.awaitApplied(r.ctx, commit, r.maxReadAge()); err != nil {
		return err
	}
	if r.reads.Confirm(asked) {
		r.ready.Store(true)
		slog.Info("registry: ready", "seq", r.stateMachine.seq())
	}
	return nil
}

// leaderCommitIndex returns an index of the log that covers all that the group had
// acknowledged when the call began.
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
	// The leader runs an earlier version, which tells what it has applied.
	var applied registry.StatusResponse
	_, err = r.callReplica(ctx, string(id), "status?linearizable=1", &applied)
	return applied.Applied, err
}

// serveCommit answers with an index that covers all that was acknowledged before the
// call. The call limiter does not count it: a leader that is busy is still the leader, and
// its followers must be able to confirm their reads.
func (r *Replica) serveCommit(w http.ResponseWriter, req *http.Request) {
	commit, err := r.verifiedCommitIndex()
	if err != nil {
		r.writeError(w, req, err)
		return
	}
	writeAnswer(w, registry.ReadLinearizable, registry.CommitResponse{CommitIndex: commit})
}

// callReplica makes a GET call of the API to another replica and reads its answer. The
// status is 0 if there was no answer.
func (r *Replica) callReplica(ctx context.Context, id, path string, answer any) (status int, err error) {
	replica, ok := r.findReplica(id)
	if !ok {
		return 0, errNoLeader
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+replica.HTTP+registry.APIPath+path, nil)
	if err != nil {
		return 0, err
	}
	resp, err := r.peerClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, fmt.Errorf("the leader answers %d", resp.StatusCode)
	}
	return resp.StatusCode, json.NewDecoder(io.LimitReader(resp.Body, maxCommitAnswer)).Decode(answer)
}

// leaderListVersion returns the list's version at the leader.
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

// endWatchesWhenStale ends the open watches each time this replica becomes stale, so
// that watchers with another address go there. The others come back and read in the
// header that the list is stale.
func (r *Replica) endWatchesWhenStale() {
	tick := time.NewTicker(r.config.Load().electionTimeout() / 2)
	defer tick.Stop()
	last := registry.ReadCurrent
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-tick.C: // its value may be a time from before this process was stopped
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

// staleReason returns why the latest try to confirm reads failed, as far as it is known.
func (r *Replica) staleReason() error {
	if failed := r.storage.log.lastWriteError.Load(); failed != nil {
		return fmt.Errorf("this replica cannot write its log: %w", *failed)
	}
	if failed := r.readsError.Load(); failed != nil && *failed != nil {
		return *failed
	}
	return errNoLeader
}
