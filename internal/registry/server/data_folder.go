package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

const (
	identityFile   = "replica.json"
	identityFormat = 1
	logFile        = "raft.db"

	// identityTempPrefix is the name prefix of temporary identity files.
	identityTempPrefix = "." + identityFile
)

// identity is the content of identityFile: the replica that owns the data folder.
type identity struct {
	Form  int    `json:"form"`
	Group string `json:"group"`
	ID    string `json:"id"`
	// Founder is true if the replica was configured to found its group, not to join one, when it
	// claimed the folder.
	Founder bool `json:"founder,omitempty"`
}

// folderClaim describes a data folder that a replica has claimed.
type folderClaim struct {
	isNew   bool // the folder holds no log yet
	founder bool // the folder was first claimed by a replica that founds its group
}

// claimDataFolder checks that the data folder belongs to this replica, and claims it if it is empty.
func claimDataFolder(c *Config) (folderClaim, error) {
	path := filepath.Join(c.DataDir, identityFile)
	want := identity{identityFormat, c.Group, c.ID, !c.Join}
	got, err := readIdentity(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return folderClaim{isNew: true, founder: want.Founder}, claimEmptyFolder(c.DataDir, path, want)
	case err != nil:
		return folderClaim{}, err
	case got.Form != want.Form || got.Group != want.Group || got.ID != want.ID:
		return folderClaim{}, fmt.Errorf("data folder %s: belongs to replica %q of group %q, this is replica %q of group %q", c.DataDir, got.ID, got.Group, want.ID, want.Group)
	}
	_, err = os.Stat(filepath.Join(c.DataDir, logFile))
	return folderClaim{isNew: errors.Is(err, fs.ErrNotExist), founder: got.Founder}, nil
}

func readIdentity(path string) (i identity, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return i, fmt.Errorf("data folder: %w", err)
	}
	if err := json.Unmarshal(text, &i); err != nil {
		return i, fmt.Errorf("%s: %w", path, err)
	}
	return i, nil
}

// claimEmptyFolder writes the identity file into a folder. The folder must be empty, except for
// temporary files of an earlier claim that was interrupted.
func claimEmptyFolder(dir, path string, i identity) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	for _, entry := range entries {
		if !strings.HasPrefix(entry.Name(), identityTempPrefix) {
			return fmt.Errorf("data folder %s: holds %s but no %s, so it is not a replica's data folder", dir, entry.Name(), identityFile)
		}
	}
	for _, entry := range entries {
		if err := os.Remove(filepath.Join(dir, entry.Name())); err != nil {
			return fmt.Errorf("data folder: %w", err)
		}
	}
	return writeIdentity(path, i)
}

// writeIdentity writes the identity file atomically.
func writeIdentity(path string, i identity) error {
	text, err := json.Marshal(i)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(path), identityTempPrefix)
	if err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	_, err = f.Write(text)
	if err = errors.Join(err, f.Sync(), f.Close()); err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
		return fmt.Errorf("data folder: %w", err)
	}
	return nil
}
