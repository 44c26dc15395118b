package gossip

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/google/renameio/v2"

	"barleywick/internal/membership"
)

const (
	joinAtOnce = 4 // addresses tried in one go: one that answers is enough
	// callers is how many members of the fleet call somebody in a round, about, whatever its
	// size: each call exchanges whole views, and those of hundreds at once would take the time
	// in which they are to answer each other.
	callers   = 32
	maxKept   = 64
	keepEvery = 10 * time.Second
	maxKeptAt = 64 << 10 // bytes of the file
)

// kept is what a member remembers for its next start.
type kept struct {
	Fleet       string   `json:"fleet"`
	Incarnation uint64   `json:"incarnation"`
	Members     []string `json:"members"` // where they listened
}

func (n *Node) keptPath() string {
	return filepath.Join(n.options.Config.StateDir, "members-"+n.options.Self.Name+".json")
}

// remembered reads what the last start has kept.
func (n *Node) remembered() (k kept, err error) {
	if n.options.Config.StateDir == "" {
		return k, nil
	}
	text, err := os.ReadFile(n.keptPath())
	if errors.Is(err, os.ErrNotExist) {
		return k, nil
	} else if err != nil {
		return k, err
	}
	if err := json.Unmarshal(text, &k); err != nil || len(text) > maxKeptAt {
		return kept{}, fmt.Errorf("%s is spoilt: %w", n.keptPath(), err)
	}
	if k.Fleet != n.options.Config.Fleet {
		return kept{}, fmt.Errorf("%s is of fleet %.64q", n.keptPath(), k.Fleet)
	}
	return k, nil
}

// remember keeps where members listen.
func (n *Node) remember() {
	if n.options.Config.StateDir == "" {
		return
	}
	k := kept{Fleet: n.options.Config.Fleet, Incarnation: n.Self().Incarnation, Members: n.addresses(func(s membership.Member) bool { return s.Status.CountsAsPresent() })}
	rand.Shuffle(len(k.Members), func(i, j int) { k.Members[i], k.Members[j] = k.Members[j], k.Members[i] })
	k.Members = k.Members[:min(len(k.Members), maxKept)]
	text, err := json.Marshal(k)
	if err == nil {
		err = os.MkdirAll(n.options.Config.StateDir, 0o700)
	}
	if err == nil {
		err = renameio.WriteFile(n.keptPath(), text, 0o600)
	}
	if err != nil {
		n.log.Warn("members: not kept for the next start", "err", err)
	}
}

// addresses are where some of the others listen.
func (n *Node) addresses(of func(s membership.Member) bool) (addrs []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.view.List() {
		if a := n.addrs[s.Key()]; a != "" && s.Key() != n.self.Key() && of(s) {
			addrs = append(addrs, a)
		}
	}
	return addrs
}

// seeds are all addresses where somebody may be found, the likeliest first.
func (n *Node) seeds(ctx context.Context) []string {
	all := slices.Clone(n.options.Config.Seeds)
	if k, err := n.remembered(); err == nil {
		all = append(all, k.Members...)
	}
	if n.options.FindSeeds != nil {
		in, cancel := context.WithTimeout(ctx, callIn)
		more, err := n.options.FindSeeds(in)
		cancel()
		if err != nil {
			n.log.Debug("members: the registry names none", "err", err)
		}
		all = append(all, more...)
	}
	own := n.options.Config.Listen
	slices.Sort(all)
	return slices.DeleteFunc(slices.Compact(all), func(a string) bool { return a == own })
}

// call exchanges views with some addresses, and says whether anybody answered.
func (n *Node) call(addrs []string) bool {
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	some, err := n.list.Load().Join(addrs[:min(len(addrs), joinAtOnce)])
	if err != nil && some == 0 {
		n.log.Debug("members: nobody answers", "at", strings.Join(addrs, " "), "err", strings.Join(strings.Fields(err.Error()), " "))
	}
	return some > 0
}

// join looks for the fleet, once through all that is known.
func (n *Node) join(ctx context.Context) {
	addrs := n.seeds(ctx)
	for len(addrs) > 0 && ctx.Err() == nil {
		if n.call(addrs) {
			n.log.Info("members: joined", "name", n.self.Name, "members", n.Size())
			return
		}
		addrs = addrs[min(len(addrs), joinAtOnce):]
	}
	n.log.Warn("members: nobody is found yet; the search goes on", "name", n.self.Name)
}

// differing is where a member listens that sees another fleet; empty: none is known.
func (n *Node) differing() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	keys := n.view.Differ(n.now() - 2*looksEvery)
	if !n.view.Settled() || len(keys) == 0 {
		return ""
	}
	return n.addrs[keys[rand.IntN(len(keys))]]
}

// mend calls those that were lost, one a round, and seeds where nobody is there: both
// sides of a partition may have given the other up, and SWIM itself never calls the dead.
// It calls one, too, that still sees another fleet when nobody comes or goes any more:
// gossip may miss somebody, and the next exchange of views by turn is far.
func (n *Node) mend(ctx context.Context) {
	kept := time.Now()
	for {
		select {
		case <-time.After(looksEvery*3/4 + rand.N(looksEvery/2)): // not all in one moment
		case <-ctx.Done():
			return
		}
		if size := n.Size(); size > callers && rand.IntN(size) >= callers {
			continue
		}
		addrs := n.addresses(func(s membership.Member) bool { return s.Status == membership.StatusUnreachable })
		if len(addrs) > 0 {
			addrs = []string{addrs[rand.IntN(len(addrs))]}
		} else if n.Size() == 1 {
			addrs = n.seeds(ctx)
		}
		if at := n.differing(); at != "" {
			addrs = append(addrs, at)
		}
		if len(addrs) > 0 {
			n.call(addrs)
		}
		if time.Since(kept) > keepEvery {
			n.remember()
			kept = time.Now()
		}
	}
}
