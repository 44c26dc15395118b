package policyfollower

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"barleywick/internal/rollout"
)

// store is the folder that persists the last policy that the sidecar applied. The zero store is disabled.
type store struct{ folder string }

// storedPolicy is the content of the store's file, policy.json.
type storedPolicy struct {
	Checksum string          `json:"sum"` // of Active
	Active   json.RawMessage `json:"acts"`
}

func (s store) enabled() bool { return s.folder != "" }

func (s store) path() string { return filepath.Join(s.folder, "policy.json") }

// save persists a policy before it is acknowledged to the registry, so that a restarted process never has
// an older policy than its predecessor acknowledged.
func (s store) save(p rollout.ActivePolicy) error {
	if !s.enabled() {
		return nil
	}
	active, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("policy: %w", err)
	}
	text, err := json.Marshal(storedPolicy{Checksum: rollout.Checksum(active), Active: active})
	if err == nil {
		err = writeAtomic(s.path(), text)
	}
	if err != nil {
		return fmt.Errorf("policy: keep what is held: %w", err)
	}
	return nil
}

// load returns the stored policy. It returns os.ErrNotExist if there is none.
func (s store) load() (rollout.ActivePolicy, error) {
	var p rollout.ActivePolicy
	text, err := os.ReadFile(s.path())
	if err != nil {
		return p, err
	}
	var stored storedPolicy
	if err := json.Unmarshal(text, &stored); err != nil {
		return p, err
	}
	if rollout.Checksum(stored.Active) != stored.Checksum {
		return p, errors.New("checksum mismatch")
	}
	return p, json.Unmarshal(stored.Active, &p)
}

// remove deletes the stored policy.
func (s store) remove() error {
	if !s.enabled() {
		return nil
	}
	return os.Remove(s.path())
}

// writeAtomic replaces a file by writing a temporary file and renaming it, so that the file is always complete.
func writeAtomic(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err = errors.Join(err, f.Sync(), f.Close()); err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
	}
	return err
}
