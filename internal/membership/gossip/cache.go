package gossip

import (
	"context"
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

// memberCache is the state that a member stores for its next start.
type memberCache struct {
	Fleet       string   `json:"fleet"`
	Incarnation uint64   `json:"incarnation"`
	Addresses   []string `json:"members"` // addresses where members listened
}

func (n *Node) cachePath() string {
	return filepath.Join(n.options.Config.StateDir, "members-"+n.options.Self.Name+".json")
}

// loadCache reads the cache that the previous start has stored. It is empty without a state
// directory, and before the first start.
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
		return memberCache{}, fmt.Errorf("%s has %d bytes, want %d at most", n.cachePath(), len(text), maxCacheBytes)
	}
	var cache memberCache
	if err := json.Unmarshal(text, &cache); err != nil {
		return memberCache{}, fmt.Errorf("%s is corrupt: %w", n.cachePath(), err)
	}
	if cache.Fleet != n.options.Config.Fleet {
		return memberCache{}, fmt.Errorf("%s is of another fleet, %.64q", n.cachePath(), cache.Fleet)
	}
	return cache, nil
}

// saveLoop saves the cache at each interval until ctx ends, and a last time then. The first save is
// immediate, so that this start's incarnation is stored even if the process crashes. A sync may hang
// as long as the disk does, so others wait for this loop only with a timeout.
func (n *Node) saveLoop(ctx context.Context) {
	ticker := time.NewTicker(cacheInterval)
	defer ticker.Stop()
	for {
		n.saveCache()
		select {
		case <-ticker.C:
		case <-n.saveNow:
		case <-ctx.Done():
			n.saveCache()
			return
		}
	}
}

// saveCache stores this start's incarnation and the addresses where members listen: a random
// selection of them if there are too many, and the ones stored before if no other member is present.
// Of two processes with the same name, only the later one writes the file.
func (n *Node) saveCache() {
	self, _ := n.Get(n.Self().Key())
	if n.options.Config.StateDir == "" || self.Status == membership.StatusReplaced {
		return
	}
	addresses := n.addresses(func(member membership.Member) bool { return member.Status.CountsAsPresent() })
	if len(addresses) == 0 {
		if last, err := n.loadCache(); err == nil { // Start has logged the error
			addresses = last.Addresses
		}
	}
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
	return n.writeFile(n.cachePath(), text, 0o600)
}

func replaceFile(path string, text []byte, permissions os.FileMode) error {
	// Without a given directory for its temporary file, the library tests a rename between directories at
	// each write, for which the kernel has a single lock per file system.
	return renameio.WriteFile(path, text, permissions, renameio.WithTempDir(filepath.Dir(path)))
}
