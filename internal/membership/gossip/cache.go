package gossip

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/google/renameio/v2"

	"barleywick/internal/membership"
)

const (
	maxCachedAddresses = 64
	maxCacheBytes      = 64 << 10
	// cacheInterval is the time between two writes of the cache.
	cacheInterval = 10 * time.Second
)

// memberCache is what a member stores for its next start.
type memberCache struct {
	Fleet       string   `json:"fleet"`
	Incarnation uint64   `json:"incarnation"`
	Addresses   []string `json:"members"` // where members listened
}

func (n *Node) cachePath() string {
	return filepath.Join(n.options.Config.StateDir, "members-"+n.options.Self.Name+".json")
}

// loadCache reads what the last start has stored. Without a state directory, or before the
// first start, it is empty.
func (n *Node) loadCache() (memberCache, error) {
	if n.options.Config.StateDir == "" {
		return memberCache{}, nil
	}
	text, err := os.ReadFile(n.cachePath())
	if errors.Is(err, os.ErrNotExist) {
		return memberCache{}, nil
	}
	if err != nil {
		return memberCache{}, err
	}
	if len(text) > maxCacheBytes {
		return memberCache{}, fmt.Errorf("%s has %d bytes, %d at most", n.cachePath(), len(text), maxCacheBytes)
	}
	var cache memberCache
	if err := json.Unmarshal(text, &cache); err != nil {
		return memberCache{}, fmt.Errorf("%s is corrupt: %w", n.cachePath(), err)
	}
	if cache.Fleet != n.options.Config.Fleet {
		return memberCache{}, fmt.Errorf("%s is of fleet %.64q", n.cachePath(), cache.Fleet)
	}
	return cache, nil
}

// saveCache stores where members listen. Of many it takes some at random.
func (n *Node) saveCache() {
	if n.options.Config.StateDir == "" {
		return
	}
	addresses := n.addresses(func(member membership.Member) bool { return member.Status.CountsAsPresent() })
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	cache := memberCache{
		Fleet:       n.options.Config.Fleet,
		Incarnation: n.Self().Incarnation,
		Addresses:   addresses[:min(len(addresses), maxCachedAddresses)],
	}
	if err := n.writeCache(cache); err != nil {
		n.log.Warn("members: cache not saved", "err", err)
	}
}

func (n *Node) writeCache(cache memberCache) error {
	text, err := json.Marshal(cache)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(n.options.Config.StateDir, 0o700); err != nil {
		return err
	}
	return renameio.WriteFile(n.cachePath(), text, 0o600)
}
