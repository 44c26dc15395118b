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

// BackupFolder is a directory of registry backups that several processes may write to. Its fence
// file holds the highest fencing token under which a backup was written; a write locks that file
// and fails if its token is lower. Each backup is in the form that a restore takes, with a checksum
// file beside it in the format of sha256sum. A backup without a checksum file is incomplete.
type BackupFolder struct {
	Dir  string
	Keep int // number of backups to keep
}

// Names of the files in the directory.
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

// Save writes a backup under a fencing token, and deletes all but the newest Keep backups.
func (b *BackupFolder) Save(ctx context.Context, token uint64, at time.Time, text []byte) (path string, err error) {
	if err := os.MkdirAll(b.Dir, 0o700); err != nil {
		return "", fmt.Errorf("backup: %w", err)
	}
	unlock, err := b.lock(ctx, token)
	if err != nil {
		return "", err
	}
	defer unlock()
	path = filepath.Join(b.Dir, backupPrefix+at.UTC().Format(backupTimeFormat)+backupSuffix)
	if err := writeBackup(path, text); err != nil {
		return "", fmt.Errorf("backup: %w", err)
	}
	return path, b.removeOldest()
}

// writeBackup writes a backup and then its checksum file, which marks the backup as complete.
func writeBackup(path string, text []byte) error {
	inFolder := renameio.WithTempDir(filepath.Dir(path)) // otherwise the library tests a rename from another directory
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

// removeOldest deletes all but the newest Keep backups. The checksum file goes first, so that a backup
// that is only partly deleted counts as incomplete.
func (b *BackupFolder) removeOldest() error {
	paths, err := b.Paths()
	if err != nil {
		return err
	}
	for _, path := range paths[:max(0, len(paths)-b.Keep)] {
		if err := errors.Join(os.Remove(path+checksumSuffix), os.Remove(path)); err != nil {
			return fmt.Errorf("backup: %w", err)
		}
	}
	return nil
}

// lock takes the directory's lock for a fencing token. It returns an error that wraps
// registry.ErrFenced if a backup was written under a higher token.
func (b *BackupFolder) lock(ctx context.Context, token uint64) (unlock func(), err error) {
	f, err := os.OpenFile(filepath.Join(b.Dir, fenceFile), os.O_RDWR|os.O_CREATE, 0o600)
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
	return func() { f.Close() }, nil // closing the file releases the lock
}

// lockFile polls for the lock until ctx ends. It doesn't block in flock, since a suspended process may
// hold the lock indefinitely.
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
			return fmt.Errorf("the folder is locked by another process: %w", err)
		}
	}
}

// raiseFence writes a token to the fence file. It returns an error that wraps registry.ErrFenced if the
// file holds a higher one.
func raiseFence(f *os.File, token uint64) error {
	highest, err := readFence(f)
	if err != nil {
		return err
	}
	if token < highest {
		return fmt.Errorf("%w: got token %d, want at least %d, the highest that has written to the folder", registry.ErrFenced, token, highest)
	}
	if token == highest {
		return nil
	}
	// All tokens have the same width, so that the write replaces the whole content.
	if _, err := f.WriteAt(fmt.Appendf(nil, "%020d\n", token), 0); err != nil {
		return err
	}
	return f.Sync()
}

// readFence reads the token from a fence file; it is 0 if the file is empty.
func readFence(f *os.File) (uint64, error) {
	text, err := io.ReadAll(io.LimitReader(f, maxFenceBytes))
	if err != nil || len(text) == 0 {
		return 0, err
	}
	token, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s is corrupt: want the highest fencing token as a decimal number; remove the file while no other controller runs", f.Name())
	}
	return token, nil
}

// Paths returns the paths of all complete backups, the oldest first.
func (b *BackupFolder) Paths() ([]string, error) {
	paths, err := filepath.Glob(filepath.Join(b.Dir, backupPattern))
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
		return nil, fmt.Errorf("backup: %s is corrupt: its checksum differs from the one in %s", path, filepath.Base(path)+checksumSuffix)
	}
	return text, nil
}
