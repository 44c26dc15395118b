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

// BackupFolder is a folder of backups of the registry, which several processes may write
// to. A file in it holds the highest fencing token that has written; under its lock, a lower one
// is rejected. A backup can be restored as it is. Beside each is its checksum, as sha256sum
// writes it; a backup without one is incomplete.
type BackupFolder struct {
	Dir  string
	Keep int // how many backups stay
}

// Names of the files in the folder.
const (
	fenceFile        = "fence"
	backupPrefix     = "registry-"
	backupSuffix     = ".json"
	checksumSuffix   = ".sha256"
	backupTimeFormat = "20060102T150405.000000Z"
	backupPattern    = backupPrefix + "*" + backupSuffix
)

const (
	lockRetryInterval = 20 * time.Millisecond
	maxFenceBytes     = 64
)

// Save writes a backup under a fencing token, and removes the oldest ones beyond those to keep.
func (c *BackupFolder) Save(ctx context.Context, token uint64, at time.Time, text []byte) (path string, err error) {
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return "", fmt.Errorf("backup: %w", err)
	}
	unlock, err := c.lock(ctx, token)
	if err != nil {
		return "", err
	}
	defer unlock()
	path = filepath.Join(c.Dir, backupPrefix+at.UTC().Format(backupTimeFormat)+backupSuffix)
	if err := writeBackup(path, text); err != nil {
		return "", fmt.Errorf("backup: %w", err)
	}
	return path, c.removeOldest()
}

// writeBackup writes a backup, and then its checksum, which makes it complete.
func writeBackup(path string, text []byte) error {
	inFolder := renameio.WithTempDir(filepath.Dir(path)) // the library tries renames from another one otherwise
	if err := renameio.WriteFile(path, text, 0o600, inFolder); err != nil {
		return err
	}
	line := fmt.Sprintf("%s  %s\n", checksum(text), filepath.Base(path))
	return renameio.WriteFile(path+checksumSuffix, []byte(line), 0o600, inFolder)
}

func checksum(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// removeOldest removes the oldest backups beyond those to keep, the checksum first.
func (c *BackupFolder) removeOldest() error {
	paths, err := c.Paths()
	if err != nil {
		return err
	}
	for _, path := range paths[:max(0, len(paths)-c.Keep)] {
		if err := errors.Join(os.Remove(path+checksumSuffix), os.Remove(path)); err != nil {
			return fmt.Errorf("backup: %w", err)
		}
	}
	return nil
}

// lock locks the folder for a fencing token. It returns registry.ErrFenced if a higher one has
// written.
func (c *BackupFolder) lock(ctx context.Context, token uint64) (unlock func(), err error) {
	f, err := os.OpenFile(filepath.Join(c.Dir, fenceFile), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("backup: %w", err)
	}
	if err = lockFile(ctx, f); err == nil {
		err = raiseFence(f, token)
	}
	if err != nil {
		f.Close()
		return nil, fmt.Errorf("backup: %w", err)
	}
	return func() { f.Close() }, nil // which unlocks it
}

// lockFile waits for the lock until ctx ends, because a process that was stopped may hold it.
func lockFile(ctx context.Context, f *os.File) error {
	for {
		err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		switch {
		case err == nil:
			return nil
		case !errors.Is(err, unix.EWOULDBLOCK):
			return fmt.Errorf("lock: %w", err)
		}
		if err := pause(ctx, lockRetryInterval); err != nil {
			return fmt.Errorf("another process has locked the folder: %w", err)
		}
	}
}

// raiseFence sets the token in a fence file, unless a higher one is in it.
func raiseFence(f *os.File, token uint64) error {
	highest, err := readFence(f)
	if err != nil {
		return err
	}
	if token < highest {
		return fmt.Errorf("%w: token %d, the folder has seen %d", registry.ErrFenced, token, highest)
	}
	if token == highest {
		return nil
	}
	// All tokens have the same width, so that the write replaces the whole text.
	if _, err := f.WriteAt(fmt.Appendf(nil, "%020d\n", token), 0); err != nil {
		return err
	}
	return f.Sync()
}

// readFence reads the token of a fence file; 0 if the file is new.
func readFence(f *os.File) (uint64, error) {
	text, err := io.ReadAll(io.LimitReader(f, maxFenceBytes))
	if err != nil || len(text) == 0 {
		return 0, err
	}
	token, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s is corrupt: it has to hold the highest token; remove it when no other controller runs", f.Name())
	}
	return token, nil
}

// Paths returns the paths of all complete backups, the oldest first.
func (c *BackupFolder) Paths() ([]string, error) {
	paths, err := filepath.Glob(filepath.Join(c.Dir, backupPattern))
	if err != nil {
		return nil, fmt.Errorf("backup: %w", err)
	}
	paths = slices.DeleteFunc(paths, func(path string) bool {
		_, err := os.Stat(path + checksumSuffix)
		return err != nil
	})
	slices.Sort(paths)
	return paths, nil
}

// ReadBackup reads a backup and verifies its checksum.
func ReadBackup(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("backup: %w", err)
	}
	line, err := os.ReadFile(path + checksumSuffix)
	if err != nil {
		return nil, fmt.Errorf("backup: %s is incomplete: %w", path, err)
	}
	if want, _, _ := strings.Cut(string(line), " "); checksum(text) != want {
		return nil, fmt.Errorf("backup: %s is corrupt: its checksum is not that of %s", path, filepath.Base(path)+checksumSuffix)
	}
	return text, nil
}
