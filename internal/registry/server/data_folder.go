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
	identityFile = "replica.json"
	identityForm = 1
	logFile      = "raft.db"

	// identityTempPrefix begins the names of identity files that are being written.
	identityTempPrefix = "." + identityFile
)

// identity is the contents of identityFile: whose data folder it is.
type identity struct {
	Form  int    `json:"form"`
	Group string `json:"group"`
	ID    string `json:"id"`
	// Founder says that the replica was to found its group when it claimed the folder, and not to
	// join one.
	Founder bool `json:"founder,omitempty"`
}

// folderClaim is what a replica finds in its data folder.
type folderClaim struct {
	isNew   bool // it holds no log yet
	founder bool // it was claimed by a replica that founds its group
}

// claimDataFolder checks that the data folder is this replica's, and claims an empty one.
func claimDataFolder(c *Config) (folderClaim, error) {
	path := filepath.Join(c.DataDir, identityFile)
	want := identity{identityForm, c.Group, c.ID, !c.Join}
	got, err := readIdentity(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return folderClaim{isNew: true, founder: want.Founder}, claimEmptyFolder(c.DataDir, path, want)
	case err != nil:
		return folderClaim{}, err
	case got.Form != want.Form || got.Group != want.Group || got.ID != want.ID:
		return folderClaim{}, fmt.Errorf("data folder %s: it belongs to replica %q of group %q, this is %q of %q", c.DataDir, got.ID, got.Group, want.ID, want.Group)
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

// claimEmptyFolder writes the identity into a folder that must hold nothing but what an
// earlier claim has left that was cut short.
func claimEmptyFolder(dir, path string, i identity) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	for _, entry := range entries {
		if !strings.HasPrefix(entry.Name(), identityTempPrefix) {
			return fmt.Errorf("data folder %s: it holds %s but no %s: it is not a replica's", dir, entry.Name(), identityFile)
		}
	}
	for _, entry := range entries {
		if err := os.Remove(filepath.Join(dir, entry.Name())); err != nil {
			return fmt.Errorf("data folder: %w", err)
		}
	}
	return writeIdentity(path, i)
}

// writeIdentity writes the file completely or not at all.
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
