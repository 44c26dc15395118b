package gossip

import (
	"barleywick/internal/membership"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"
)

// memberCache is what a member remembers for its next start.
type memberCache struct {
	Fleet       string   `json:"fleet"`
	Incarnation uint64   `json:"incarnation"`
	Members     []string `json:"members"` // where they listened
}

func (n *Node) cachePath() string {
	return filepath.Join(n.options.Config.StateDir, "members-"+n.options.Self.Name+".json")
}

// loadCache reads what the last start has kept.
func (n *Node) loadCache() (k memberCache, err error) {
	if n.options.Config.StateDir == "" {
		return k, nil
	}
	text, err := os.ReadFile(n.cachePath())
	if errors.Is(err, os.ErrNotExist) {
		return k, nil
	} else if err != nil {
		return k, err
	}
	if err := json.Unmarshal(text, &k); err != nil || len(text) > maxCacheBytes {
		return memberCache{}, fmt.Errorf("%s is spoilt: %w", n.cachePath(), err)
	}
	if k.Fleet != n.options.Config.Fleet {
		return memberCache{}, fmt.Errorf("%s is of fleet %.64q", n.cachePath(), k.Fleet)
	}
	return k, nil
}

// saveCache keeps where members listen.
func (n *Node) saveCache() {
	if n.options.Config.StateDir == "" {
		return
	}
	k := memberCache{Fleet: n.options.Config.Fleet, Incarnation: n.Self().Incarnation, Members: n.addresses(func(s membership.Member) bool { return s.Status.CountsAsPresent() })}
	rand.Shuffle(len(k.Members), func(i, j int) { k.Members[i], k.Members[j] = k.Members[j], k.Members[i] })
	k.Members = k.Members[:min(len(k.Members), maxCachedAddresses)]
	text, err := json.Marshal(k)
	if err == nil {
		err = os.MkdirAll(n.options.Config.StateDir, 0o700)
	}
	if err == nil {
		err = renameio.WriteFile(n.cachePath(), text, 0o600)
	}
	if err != nil {
		n.log.Warn("members: not kept for the next start", "err", err)
	}
}
