package controller

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"barleywick/internal/registry"
)

// savedBackups returns a folder that keeps three of six saved backups: five were saved under token 7,
// and the last one under token 9.
func savedBackups(t *testing.T) (folder *BackupFolder, paths []string) {
	t.Helper()
	folder = &BackupFolder{Dir: filepath.Join(t.TempDir(), "copies"), Keep: 3}
	for i, text := range []string{"0", "1", "2", "3", "4", "newer"} {
		token := uint64(7)
		if text == "newer" {
			token = 9
		}
		if _, err := folder.Save(t.Context(), token, backupTime(i), []byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	paths, err := folder.Paths()
	if err != nil || len(paths) != 3 {
		t.Fatalf("got %d backups, %v, want 3", len(paths), err)
	}
	return folder, paths
}

func backupTime(i int) time.Time { return time.UnixMilli(1_700_000_000_000 + int64(i)*1000) }

func TestBackupIsFenced(t *testing.T) {
	folder, paths := savedBackups(t)
	if _, err := folder.Save(t.Context(), 8, backupTime(9), []byte("older")); !errors.Is(err, registry.ErrFenced) {
		t.Errorf("a lower token: got %v, want %v", err, registry.ErrFenced)
	}
	if text, err := ReadBackup(paths[2]); err != nil || string(text) != "newer" {
		t.Errorf("the last backup: got %q, %v, want newer", text, err)
	}
	if err := os.WriteFile(filepath.Join(folder.Dir, fenceFile), []byte("what"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := folder.Save(t.Context(), 10, backupTime(10), []byte("x")); err == nil || !strings.Contains(err.Error(), "corrupt") {
		t.Errorf("a corrupt fence: got %v, want an error with \"corrupt\"", err)
	}
}

func TestInvalidBackupsAreRejected(t *testing.T) {
	folder, paths := savedBackups(t)
	if err := os.WriteFile(paths[1], []byte("other"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadBackup(paths[1]); err == nil || !strings.Contains(err.Error(), "corrupt") {
		t.Errorf("a corrupt backup: got %v, want an error with \"corrupt\"", err)
	}
	if err := os.Remove(paths[0] + checksumSuffix); err != nil { // as if the process had ended between the two writes
		t.Fatal(err)
	}
	if _, err := ReadBackup(paths[0]); err == nil || !strings.Contains(err.Error(), "incomplete") {
		t.Errorf("an incomplete backup: got %v, want an error with \"incomplete\"", err)
	}
	if complete, _ := folder.Paths(); len(complete) != 2 {
		t.Errorf("got %d complete backups, want 2", len(complete))
	}
}

// If a suspended process holds the folder's lock, another process waits for it until its context ends.
func TestBackupWaitsForLock(t *testing.T) {
	folder, _ := savedBackups(t)
	unlock, err := folder.lock(t.Context(), 9)
	if err != nil {
		t.Fatal(err)
	}
	defer unlock()
	ctx, cancel := context.WithTimeout(t.Context(), 3*lockRetryInterval)
	defer cancel()
	if _, err := folder.Save(ctx, 9, backupTime(9), nil); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want %v", err, context.DeadlineExceeded)
	}
}

// A backup that a controller saved is restored into a new group.
func TestSavedBackupIsRestored(t *testing.T) {
	addr, c := startGroup(t, "g")
	instance := registry.Instance{Host: "s-1", Dial: "127.0.0.1:1", Site: "a", Health: registry.HealthUp, Share: 1}
	if _, err := c.Register(t.Context(), registry.RegisterRequest{Instance: instance}); err != nil {
		t.Fatal(err)
	}
	folder := &BackupFolder{Dir: t.TempDir()}
	startController(t, "k1", addr, fmt.Sprintf("[copies]\nfolder = %q\nevery_ms = 1000\n", folder.Dir))
	var paths []string
	eventually(t, "a backup is saved", func() bool { paths, _ = folder.Paths(); return len(paths) > 0 })
	text, err := ReadBackup(paths[0])
	if err != nil {
		t.Fatal(err)
	}
	_, other := startGroup(t, "g")
	if err := other.Restore(t.Context(), text); err != nil {
		t.Fatal(err)
	}
	got, err := other.Registrations(t.Context())
	if err != nil || len(got.Registrations) != 1 || got.Registrations[0].Host != "s-1" {
		t.Errorf("after the restore: got %+v, %v, want s-1", got.Registrations, err)
	}
}
