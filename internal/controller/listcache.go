package controller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/renameio/v2"
	"golang.org/x/sys/unix"

	"barleywick/internal/registry"
)

// ListCache is a folder of copies of the registry's contents, which several processes may
// write to: a file holds the highest token seen, and a lower one is refused under its
// lock. A copy is restored as it is; beside each stands its checksum, as sha256sum
// writes it, and one without is not whole.
type ListCache struct {
	Dir  string
	Keep int
}

const (
	fenceFile         = "fence"
	cachePrefix       = "registry-"
	cacheSuffix       = ".json"
	checksumSuffix    = ".sha256"
	lockRetryInterval = 20 * time.Millisecond
)

// Save writes a copy under a token, and removes the oldest beyond those that are kept.
func (c *ListCache) Save(ctx context.Context, token uint64, at time.Time, text []byte) (path string, err error) {
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return "", fmt.Errorf("copies: %w", err)
	}
	unlock, err := c.lock(ctx, token)
	if err != nil {
		return "", err
	}
	defer unlock()
	path = filepath.Join(c.Dir, cachePrefix+at.UTC().Format("20060102T150405.000000Z")+cacheSuffix)
	sum := sha256.Sum256(text)
	if err := renameio.WriteFile(path, text, 0o600); err != nil {
		return "", fmt.Errorf("copies: %w", err)
	}
	line := fmt.Sprintf("%s  %s\n", hex.EncodeToString(sum[:]), filepath.Base(path))
	if err := renameio.WriteFile(path+checksumSuffix, []byte(line), 0o600); err != nil {
		return "", fmt.Errorf("copies: %w", err)
	}
	all, err := c.Paths()
	if err != nil {
		return path, err
	}
	for _, old := range all[:max(0, len(all)-c.Keep)] {
		if err := errors.Join(os.Remove(old+checksumSuffix), os.Remove(old)); err != nil { // first what says that it is whole
			return path, fmt.Errorf("copies: %w", err)
		}
	}
	return path, nil
}

// lock takes the folder for a token, unless a higher one has been here.
func (c *ListCache) lock(ctx context.Context, token uint64) (unlock func(), err error) {
	f, err := os.OpenFile(filepath.Join(c.Dir, fenceFile), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("copies: %w", err)
	}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	for {
		err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		if err == nil {
			break
		}
		if !errors.Is(err, unix.EWOULDBLOCK) {
			return nil, fmt.Errorf("copies: lock: %w", err)
		}
		if err := pause(ctx, lockRetryInterval); err != nil { // a process that was stopped may have it
			return nil, fmt.Errorf("copies: another process has the folder: %w", err)
		}
	}
	text, err := io.ReadAll(io.LimitReader(f, 64))
	if err != nil {
		return nil, fmt.Errorf("copies: %w", err)
	}
	seen := uint64(0)
	if len(text) > 0 {
		if seen, err = strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64); err != nil {
			return nil, fmt.Errorf("copies: %s is spoilt: it has to hold the highest token; remove it when no other keeper runs", f.Name())
		}
	}
	if token < seen {
		return nil, fmt.Errorf("copies: %w: token %d, the folder has seen %d", registry.ErrFenced, token, seen)
	}
	if token > seen { // as wide as any, so that it is written whole or not at all
		if _, err := f.WriteAt(fmt.Appendf(nil, "%020d\n", token), 0); err != nil {
			return nil, fmt.Errorf("copies: %w", err)
		}
		if err := f.Sync(); err != nil {
			return nil, fmt.Errorf("copies: %w", err)
		}
	}
	return func() { f.Close() }, nil
}

// Paths returns the paths of all whole copies, the oldest first.
func (c *ListCache) Paths() ([]string, error) {
	all, err := filepath.Glob(filepath.Join(c.Dir, cachePrefix+"*"+cacheSuffix))
	if err != nil {
		return nil, fmt.Errorf("copies: %w", err)
	}
	all = slices.DeleteFunc(all, func(path string) bool {
		_, err := os.Stat(path + checksumSuffix)
		return err != nil
	})
	slices.Sort(all)
	return all, nil
}

// ReadCachedList reads a copy and holds it against its checksum.
func ReadCachedList(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("copy: %w", err)
	}
	line, err := os.ReadFile(path + checksumSuffix)
	if err != nil {
		return nil, fmt.Errorf("copy %s is not whole: %w", path, err)
	}
	want, _, _ := strings.Cut(string(line), " ")
	if sum := sha256.Sum256(text); hex.EncodeToString(sum[:]) != want {
		return nil, fmt.Errorf("copy %s is spoilt: its checksum is not that of %s", path, filepath.Base(path)+checksumSuffix)
	}
	return text, nil
}
