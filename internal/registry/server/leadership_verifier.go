package server

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"barleywick/internal/registry"
)

const (
	// verificationTimeout is how long the other replicas may take to tell their terms: as
	// long as a leader that is cut off goes on believing that it leads.
	verificationTimeout = time.Second
	maxTermAnswer       = 16 << 10 // bytes
)

// leadershipVerifier runs verifications of leadership, and shares each among the calls
// that asked for one before it began.
//
// Raft's own VerifyLeader counts any answer that arrives after it was called: in a
// process that was stopped and continues, those may be old, and another replica may have
// been elected since. Here a quorum says, asked after the call began, that it has seen no
// later term: whoever is elected next is elected after that.
type leadershipVerifier struct {
	verify    func() error
	requested chan struct{}

	mu      sync.Mutex
	pending *verification // the next to begin; nil if nobody waits for one
}

// verification is one verification of leadership. err is valid once done is closed.
type verification struct {
	done chan struct{}
	err  error
}

func newLeadershipVerifier(verify func() error) *leadershipVerifier {
	return &leadershipVerifier{verify: verify, requested: make(chan struct{}, 1)}
}

// await returns the result of a verification that begins after the call of await.
func (v *leadershipVerifier) await(ctx context.Context) error {
	joined := v.join()
	select {
	case <-joined.done:
		return joined.err
	case <-ctx.Done():
		return raft.ErrRaftShutdown
	}
}

// join returns the verification that begins next.
func (v *leadershipVerifier) join() *verification {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.pending == nil {
		v.pending = &verification{done: make(chan struct{})}
		select {
		case v.requested <- struct{}{}:
		default:
		}
	}
	return v.pending
}

// run runs verifications as they are asked for, until ctx ends.
func (v *leadershipVerifier) run(ctx context.Context) {
	for {
		select {
		case <-v.requested:
		case <-ctx.Done():
			return
		}
		v.mu.Lock()
		current := v.pending
		v.pending = nil
		v.mu.Unlock()
		current.err = v.verify()
		close(current.done)
	}
}

// verifyLeadership returns nil if this replica led at a moment after the call began.
func (r *Replica) verifyLeadership() error { return r.verifier.await(r.ctx) }

// confirmLeadership asks the other replicas for their terms, and returns nil if a quorum
// has seen none later than that in which this replica leads.
func (r *Replica) confirmLeadership() error {
	term := r.raft.CurrentTerm()
	if r.raft.State() != raft.Leader {
		return raft.ErrNotLeader
	}
	ctx, cancel := context.WithTimeout(r.ctx, verificationTimeout)
	defer cancel()
	voters := r.voters()
	answers := make(chan error, len(voters))
	asked, agreed := 0, 0
	for _, voter := range voters {
		if string(voter.ID) == r.self.ID {
			agreed++
			continue
		}
		asked++
		go func() { answers <- r.confirmTerm(ctx, string(voter.ID), term) }() // ends with ctx
	}
	var lastErr error
	for ; asked > 0 && agreed <= len(voters)/2; asked-- {
		if err := <-answers; err != nil {
			lastErr = err
		} else {
			agreed++
		}
	}
	switch {
	case agreed <= len(voters)/2:
		return fmt.Errorf("no quorum says that this replica still leads: %w", lastErr)
	case r.raft.State() != raft.Leader || r.raft.CurrentTerm() != term:
		return raft.ErrLeadershipLost
	}
	return nil
}

// confirmTerm asks one replica for its term, and returns an error if it has seen a later
// one or does not answer.
func (r *Replica) confirmTerm(ctx context.Context, id string, term uint64) error {
	info, ok := r.findReplica(id)
	if !ok {
		return fmt.Errorf("replica %s: its address is not known", id)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+info.HTTP+registry.APIPath+"term", nil)
	if err != nil {
		return err
	}
	resp, err := r.peerClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxTermAnswer))
	if err != nil {
		return err
	}
	theirs, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
	if err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("replica %s answers %d", id, resp.StatusCode)
	}
	if theirs > term {
		return fmt.Errorf("replica %s is at term %d, this one leads in %d", id, theirs, term)
	}
	return nil
}

// serveTerm answers with the term that this replica has seen. The call limiter does not
// count it: calls that the limiter admitted wait for this one.
func (r *Replica) serveTerm(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, r.raft.CurrentTerm())
}
