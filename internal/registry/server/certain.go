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

// certainIn is how long the other replicas may take to say their terms: as long as a
// leader that is cut off goes on believing.
const certainIn = time.Second

// certainty makes sure that this replica leads. Raft's own VerifyLeader counts any
// answer that comes in after it was asked: in a process that was stopped and goes on
// those may be from before, and another may lead since. Here a quorum says, asked
// after the call began, that none of it has come to a later term: whoever is elected
// next is elected after that. Calls that come while others are asked share one asking
// that begins after them.
type certainty struct {
	ask chan struct{}

	mu   sync.Mutex
	next *asking
}

type asking struct {
	done chan struct{}
	err  error
}

func newCertainty() *certainty { return &certainty{ask: make(chan struct{}, 1)} }

// certain returns nil if this replica led at a moment after the call began.
func (r *Replica) certain() error {
	c := r.sure
	c.mu.Lock()
	a := c.next
	if a == nil {
		a = &asking{done: make(chan struct{})}
		c.next = a
		select {
		case c.ask <- struct{}{}:
		default:
		}
	}
	c.mu.Unlock()
	select {
	case <-a.done:
		return a.err
	case <-r.life.Done():
		return raft.ErrRaftShutdown
	}
}

// askTerms asks for whoever wants to be certain, until the replica ends.
func (r *Replica) askTerms() {
	for {
		select {
		case <-r.sure.ask:
		case <-r.life.Done():
			return
		}
		r.sure.mu.Lock()
		a := r.sure.next
		r.sure.next = nil
		r.sure.mu.Unlock()
		a.err = r.askQuorum()
		close(a.done)
	}
}

func (r *Replica) askQuorum() error {
	term := r.raft.CurrentTerm()
	if r.raft.State() != raft.Leader {
		return raft.ErrNotLeader
	}
	ctx, cancel := context.WithTimeout(r.life, certainIn)
	defer cancel()
	voters := r.voters()
	answers, asked, agree := make(chan error, len(voters)), 0, 0
	for _, v := range voters {
		if string(v.ID) == r.self.ID {
			agree++
			continue
		}
		asked++
		go func() { answers <- r.askTerm(ctx, string(v.ID), term) }() // ends with ctx
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

// askTerm asks one replica; an error says that it does not vouch for this term.
func (r *Replica) askTerm(ctx context.Context, id string, term uint64) error {
	m, ok := r.member(id)
	if !ok {
		return fmt.Errorf("replica %s: its address is not known", id)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.HTTP+registry.APIPath+"term", nil)
	if err != nil {
		return err
	}
	resp, err := r.http.Do(req)
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
