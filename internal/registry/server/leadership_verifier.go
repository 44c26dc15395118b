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
)

const (
	// verificationTimeout is the timeout for the other replicas to report their terms: as
	// long as a partitioned leader continues to regard itself as the leader.
	verificationTimeout  = time.Second
	maxTermResponseBytes = 16 << 10
)

// leadershipVerifier runs verifications of leadership, and shares each among the calls
// that requested one before it began.
//
// Raft's own VerifyLeader counts any response that arrives after it was called. If the
// process was suspended and resumed, such responses may be old, and another replica may have
// been elected since. This verification sends its requests after the call began, and
// succeeds if a quorum responds that it has seen no later term. The next leader is therefore
// elected after the call began.
type leadershipVerifier struct {
	verify    func() error
	requested chan struct{}

	mu      sync.Mutex
	pending *verification // the next to begin; nil if none is requested
}

// verification is one verification of leadership. err must be read only after done is closed.
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

// run runs the requested verifications one at a time until ctx ends.
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

// verifyLeadership returns nil if this replica was the leader at some time after the call began.
func (r *Replica) verifyLeadership() error { return r.verifier.await(r.ctx) }

// confirmLeadership requests the terms of the other replicas, and returns nil if a quorum,
// including this replica, has seen no term later than the one in which this replica leads.
func (r *Replica) confirmLeadership() error {
	term := r.raft.CurrentTerm()
	if r.raft.State() != raft.Leader {
		return raft.ErrNotLeader
	}
	ctx, cancel := context.WithTimeout(r.ctx, verificationTimeout)
	defer cancel()
	voters := r.voters()
	results := make(chan error, len(voters))
	outstanding, confirmed := 0, 0
	for _, voter := range voters {
		if string(voter.ID) == r.self.ID {
			confirmed++
			continue
		}
		outstanding++
		go func() { results <- r.confirmTerm(ctx, string(voter.ID), term) }() // ends with ctx
	}
	var lastErr error
	for ; outstanding > 0 && confirmed <= len(voters)/2; outstanding-- {
		if err := <-results; err != nil {
			lastErr = err
		} else {
			confirmed++
		}
	}
	switch {
	case confirmed <= len(voters)/2:
		return fmt.Errorf("no quorum confirms that this replica is still the leader: %w", lastErr)
	case r.raft.State() != raft.Leader || r.raft.CurrentTerm() != term:
		return raft.ErrLeadershipLost
	}
	return nil
}

// confirmTerm requests the term of one replica, and returns an error if the replica has seen
// a later term or does not respond.
func (r *Replica) confirmTerm(ctx context.Context, id string, term uint64) error {
	info, ok := r.findReplica(id)
	if !ok {
		return fmt.Errorf("replica %s: address is unknown", id)
	}
	req, err := r.newPeerCall(ctx, info, "term")
	if err != nil {
		return err
	}
	resp, err := r.peerClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxTermResponseBytes))
	if err != nil {
		return err
	}
	peerTerm, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
	if err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("replica %s: got status %d, want 200 with a term", id, resp.StatusCode)
	}
	if peerTerm > term {
		return fmt.Errorf("replica %s has seen term %d, later than term %d in which this replica leads", id, peerTerm, term)
	}
	return nil
}

// serveTerm responds with the latest term that this replica has seen. It bypasses the call
// limiter: calls that the limiter of another replica has admitted wait for this response.
func (r *Replica) serveTerm(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, r.raft.CurrentTerm())
}
