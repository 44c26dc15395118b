package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// identity says whose folder it is.
type identity struct {
	Form  int    `json:"form"`
	Group string `json:"group"`
	ID    string `json:"id"`
}

// claimDataFolder checks whose folder it is, and makes an empty one this replica's.
func claimDataFolder(c *Config) (fresh bool, err error) {
	path := filepath.Join(c.DataDir, identityFile)
	want := identity{1, c.Group, c.ID}
	text, err := os.ReadFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		names, err := os.ReadDir(c.DataDir)
		if err != nil {
			return false, fmt.Errorf("data folder: %w", err)
		}
		if len(names) > 0 {
			return false, fmt.Errorf("data folder %s: it holds %s but no %s: it is not a replica's", c.DataDir, names[0].Name(), identityFile)
		}
		return true, writeIdentity(path, want)
	case err != nil:
		return false, fmt.Errorf("data folder: %w", err)
	}
	var got identity
	if err := json.Unmarshal(text, &got); err != nil {
		return false, fmt.Errorf("%s: %w", path, err)
	}
	if got != want {
		return false, fmt.Errorf("data folder %s: it belongs to replica %q of group %q, this is %q of %q", c.DataDir, got.ID, got.Group, want.ID, want.Group)
	}
	_, err = os.Stat(filepath.Join(c.DataDir, logFile))
	return errors.Is(err, fs.ErrNotExist), nil
}

// writeIdentity writes the file whole or not at all.
func writeIdentity(path string, i identity) error {
	text, err := json.Marshal(i)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(path), "."+identityFile)
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
