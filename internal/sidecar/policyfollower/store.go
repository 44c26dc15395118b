package policyfollower

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"barleywick/internal/rollout"
)

// store is the folder that holds the policy which a sidecar acted by last. The zero store holds
// nothing.
type store struct{ folder string }

// storedPolicy is the content of the store's file.
type storedPolicy struct {
	Checksum string          `json:"sum"` // of Active
	Active   json.RawMessage `json:"acts"`
}

func (s store) enabled() bool { return s.folder != "" }

func (s store) path() string { return filepath.Join(s.folder, "policy.json") }

// save stores what is about to be acted by. It is written before the registry is told: a process
// that starts again has no less than this one has confirmed.
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

// load reads what was stored. It fails with os.ErrNotExist if nothing was.
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
		return p, errors.New("its checksum is wrong")
	}
	return p, json.Unmarshal(stored.Active, &p)
}

// remove removes what was stored.
func (s store) remove() error {
	if !s.enabled() {
		return nil
	}
	return os.Remove(s.path())
}

// writeAtomic writes a complete file or none.
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
