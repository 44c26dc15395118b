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

// verificationTimeout is how long the other replicas may take to say their terms: as long as a
// leader that is cut off goes on believing.
const verificationTimeout = time.Second

// leadershipVerifier makes sure that this replica leads. Raft's own VerifyLeader counts any
// answer that comes in after it was asked: in a process that was stopped and goes on
// those may be from before, and another may lead since. Here a quorum says, asked
// after the call began, that none of it has come to a later term: whoever is elected
// next is elected after that. Calls that come while others are asked share one asking
// that begins after them.
type leadershipVerifier struct {
	requested chan struct{}

	mu      sync.Mutex
	pending *verification
}

type verification struct {
	done chan struct{}
	err  error
}

func newLeadershipVerifier() *leadershipVerifier {
	return &leadershipVerifier{requested: make(chan struct{}, 1)}
}

// verifyLeadership returns nil if this replica led at a moment after the call began.
func (r *Replica) verifyLeadership() error {
	c := r.verifier
	c.mu.Lock()
	a := c.pending
	if a == nil {
		a = &verification{done: make(chan struct{})}
		c.pending = a
		select {
		case c.requested <- struct{}{}:
		default:
		}
	}
	c.mu.Unlock()
	select {
	case <-a.done:
		return a.err
	case <-r.ctx.Done():
		return raft.ErrRaftShutdown
	}
}

// runVerifications asks for whoever wants to be certain, until the replica ends.
func (r *Replica) runVerifications() {
	for {
		select {
		case <-r.verifier.requested:
		case <-r.ctx.Done():
			return
		}
		r.verifier.mu.Lock()
		a := r.verifier.pending
		r.verifier.pending = nil
		r.verifier.mu.Unlock()
		a.err = r.verifyWithQuorum()
		close(a.done)
	}
}

func (r *Replica) verifyWithQuorum() error {
	term := r.raft.CurrentTerm()
	if r.raft.State() != raft.Leader {
		return raft.ErrNotLeader
	}
	ctx, cancel := context.WithTimeout(r.ctx, verificationTimeout)
	defer cancel()
	voters := r.voters()
	answers, asked, agree := make(chan error, len(voters)), 0, 0
	for _, v := range voters {
		if string(v.ID) == r.self.ID {
			agree++
			continue
		}
		asked++
		go func() { answers <- r.confirmTerm(ctx, string(v.ID), term) }() // ends with ctx
	}
	var last error
	for ; asked > 0 && agree <= len(voters)/2; asked-- {
		if err := <-answers; err != nil {
			last = err
		} else {
			agree++
		}
	}
	switch {
	case agree <= len(voters)/2:
		return fmt.Errorf("no quorum says that this replica still leads: %w", last)
	case r.raft.State() != raft.Leader || r.raft.CurrentTerm() != term:
		return raft.ErrLeadershipLost
	}
	return nil
}

// confirmTerm asks one replica; an error says that it does not vouch for this term.
func (r *Replica) confirmTerm(ctx context.Context, id string, term uint64) error {
	m, ok := r.findReplica(id)
	if !ok {
		return fmt.Errorf("replica %s: its address is not known", id)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.HTTP+registry.APIPath+"term", nil)
	if err != nil {
		return err
	}
	resp, err := r.peerClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxHeader))
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

// serveTerm tells the term that this replica is at. It waits for no turn: the calls
// that have one wait for it.
func (r *Replica) serveTerm(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, r.raft.CurrentTerm())
}
