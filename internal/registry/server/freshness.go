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

// freshness says how fresh what this replica tells is, for the header.
func (r *Replica) freshness(now time.Time) (word string, age time.Duration) {
	if r.raft.State() == raft.Leader {
		return registry.ReadCurrent, 0
	}
	last := r.raft.LastContact()
	if last.IsZero() {
		return registry.ReadStale, 0
	}
	age = max(0, now.Sub(last)) // the leader may have been heard since now was read
	if leader, _ := r.raft.LeaderWithID(); leader == "" || age > staleElections*r.config.Load().electionTimeout() {
		return registry.ReadStale, age
	}
	return registry.ReadCurrent, age
}

// linearize makes sure that this replica leads and has applied all that any
// replica has acknowledged.
func (r *Replica) linearize() error {
	term, err := r.requireLeaderTerm()
	if err != nil {
		return err
	}
	commit := r.raft.CommitIndex()
	if err := r.verifyLeadership(); err != nil {
		return err
	}
	// It may have lost the lead after the index was read and have won it again: what others
	// have committed in between is not within that index.
	if now, err := r.requireLeaderTerm(); err != nil || now != term {
		return errNewLeader
	}
	for deadline := time.Now().Add(writeTimeout); r.raft.AppliedIndex() < commit; {
		if time.Now().After(deadline) {
			return errors.New("the log is applied too slowly")
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

// catchUp makes the replica ready once it holds what the group held when it
// came: before, it would tell watchers of a list that they have left behind.
func (r *Replica) catchUp() {
	for r.ctx.Err() == nil {
		if seq, err := r.leaderListVersion(); err == nil && seq > 0 && r.stateMachine.seq() >= seq {
			r.ready.Store(true)
			slog.Info("ready", "seq", r.stateMachine.seq())
			return
		}
		select {
		case <-time.After(catchUpInterval/2 + rand.N(catchUpInterval)):
		case <-r.ctx.Done():
		}
	}
}

// leaderListVersion asks the leader for the list's version.
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
	var status registry.StatusResponse
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("the leader answers %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		return 0, err
	}
	return status.Seq, nil
}

var errNoLeader = errors.New("no leader is known: this replica has no contact with a quorum")

// endWatchesWhenStale ends the watches when this replica becomes stale: those that can follow
// another replica do, and the others come back and are told that it is.
func (r *Replica) endWatchesWhenStale() {
	tick := time.NewTicker(r.config.Load().electionTimeout() / 2)
	defer tick.Stop()
	was := registry.ReadCurrent
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-tick.C: // its time may be one from before this process was stopped
			word, age := r.freshness(time.Now())
			if word != was && word == registry.ReadStale && r.ready.Load() {
				slog.Warn("no leader is heard of: the list goes on as stale", "age", age)
				r.broadcaster.endWatches()
			} else if word != was && word == registry.ReadCurrent {
				slog.Info("a leader is heard of again")
			}
			was = word
		}
	}
}
