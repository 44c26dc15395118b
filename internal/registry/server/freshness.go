package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/hashicorp/raft"

	"barleywick/internal/registry"
)

const (
	// staleElections is after how many election timeouts without contact with a leader
	// a replica calls its reads stale.
	staleElections = 3
	// catchUpInterval is the mean time between two tries to become ready.
	catchUpInterval = 50 * time.Millisecond
	// appliedPollInterval is how often a linearizable read looks whether the log is applied.
	appliedPollInterval = time.Millisecond
)

var (
	errNotReady = errors.New("this replica has not caught up with its group yet")
	errNoLeader = errors.New("no leader is known: this replica has no contact with a quorum")
)

// freshness returns how fresh reads from this replica are: registry.ReadCurrent or
// registry.ReadStale, and the time since the last contact with a leader.
func (r *Replica) freshness(now time.Time) (freshness string, age time.Duration) {
	if r.raft.State() == raft.Leader {
		return registry.ReadCurrent, 0
	}
	last := r.raft.LastContact()
	if last.IsZero() {
		return registry.ReadStale, 0
	}
	age = max(0, now.Sub(last)) // the leader may have been in contact since now was read
	if leader, _ := r.raft.LeaderWithID(); leader == "" || age > staleElections*r.config.Load().electionTimeout() {
		return registry.ReadStale, age
	}
	return registry.ReadCurrent, age
}

// linearize returns once this replica is verified to lead and has applied everything
// that any replica had acknowledged when the call began.
func (r *Replica) linearize() error {
	term, err := r.requireLeaderTerm()
	if err != nil {
		return err
	}
	commit := r.raft.CommitIndex()
	if err := r.verifyLeadership(); err != nil {
		return err
	}
	// Leadership may have been lost after the index was read, and won again: entries
	// that another leader committed in between are not within that index.
	if now, err := r.requireLeaderTerm(); err != nil || now != term {
		return errNewLeader
	}
	for deadline := time.Now().Add(writeTimeout); r.raft.AppliedIndex() < commit; {
		if time.Now().After(deadline) {
			return errors.New("the log is applied too slowly")
		}
		time.Sleep(appliedPollInterval)
	}
	return nil
}

// catchUp makes the replica ready once it has applied what the group had committed when
// it started. Before, it would show watchers a list older than the one they have.
func (r *Replica) catchUp() {
	for r.ctx.Err() == nil {
		if seq, err := r.leaderListVersion(); err == nil && seq > 0 && r.stateMachine.seq() >= seq {
			r.ready.Store(true)
			slog.Info("registry: ready", "seq", r.stateMachine.seq())
			return
		}
		select {
		case <-time.After(catchUpInterval/2 + rand.N(catchUpInterval)):
		case <-r.ctx.Done():
		}
	}
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
	leader, ok := r.findReplica(string(id))
	if !ok {
		return 0, errNoLeader
	}
	req, err := http.NewRequestWithContext(r.ctx, http.MethodGet, "http://"+leader.HTTP+registry.APIPath+"status?linearizable=1", nil)
	if err != nil {
		return 0, err
	}
	resp, err := r.peerClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("the leader answers %d", resp.StatusCode)
	}
	var status registry.StatusResponse
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		return 0, err
	}
	return status.Seq, nil
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
			slog.Info("registry: leader found again")
		case r.ready.Load():
			slog.Warn("registry: no leader, list served as stale", "age", age)
			r.broadcaster.endWatches()
		}
		last = freshness
	}
}
