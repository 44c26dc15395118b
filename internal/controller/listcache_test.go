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

func TestCopies(t *testing.T) {
	c := &ListCache{Dir: filepath.Join(t.TempDir(), "copies"), Keep: 3}
	at := time.UnixMilli(1_700_000_000_000)
	save := func(token uint64, text string) (string, error) {
		at = at.Add(time.Second)
		return c.Save(t.Context(), token, at, []byte(text))
	}
	for i := range 5 {
		if _, err := save(7, fmt.Sprint(i)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := save(9, "newer"); err != nil {
		t.Fatal(err)
	}
	if _, err := save(8, "older"); !errors.Is(err, registry.ErrFenced) {
		t.Errorf("an older token: %v", err)
	}
	all, err := c.Paths()
	if err != nil || len(all) != 3 {
		t.Fatalf("%d copies are kept, %v", len(all), err)
	}
	if text, err := ReadCachedList(all[2]); err != nil || string(text) != "newer" {
		t.Errorf("the last is %q, %v", text, err)
	}
	if err := os.WriteFile(all[1], []byte("spoilt"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadCachedList(all[1]); err == nil || !strings.Contains(err.Error(), "spoilt") {
		t.Errorf("a spoilt copy: %v", err)
	}
	if err := os.Remove(all[0] + checksumSuffix); err != nil { // as when the process ended between the two
		t.Fatal(err)
	}
	if _, err := ReadCachedList(all[0]); err == nil || !strings.Contains(err.Error(), "not whole") {
		t.Errorf("half a copy: %v", err)
	}
	if left, _ := c.Paths(); len(left) != 2 {
		t.Errorf("%d copies count as whole", len(left))
	}
	// Somebody who was stopped has the folder: one waits as long as it may, and no longer.
	unlock, err := c.lock(t.Context(), 9)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*lockRetryInterval)
	defer cancel()
	if _, err := c.Save(ctx, 9, at, nil); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the folder is another's: %v", err)
	}
	unlock()
	if err := os.WriteFile(filepath.Join(c.Dir, fenceFile), []byte("what"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := save(10, "x"); err == nil || !strings.Contains(err.Error(), "spoilt") {
		t.Errorf("a spoilt fence: %v", err)
	}
}

// A copy that a keeper made is restored into a new group.
func TestCopyIsRestored(t *testing.T) {
	addr, c := startGroup(t, "g")
	i := registry.Instance{Host: "s-1", Dial: "127.0.0.1:1", Site: "a", Health: registry.HealthUp, Share: 1}
	if _, err := c.Register(t.Context(), registry.RegisterRequest{Instance: i}); err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	startKeeper(t, "k1", addr, fmt.Sprintf("[copies]\nfolder = %q\nevery_ms = 1000\n", folder))
	copies := &ListCache{Dir: folder}
	var all []string
	eventually(t, "there is a copy", func() bool { all, _ = copies.Paths(); return len(all) > 0 })
	text, err := ReadCachedList(all[0])
	if err != nil {
		t.Fatal(err)
	}
	_, other := startGroup(t, "g")
	if err := other.Restore(t.Context(), text); err != nil {
		t.Fatal(err)
	}
	got, err := other.Registrations(t.Context())
	if err != nil || len(got.Registrations) != 1 || got.Registrations[0].Host != "s-1" {
		t.Errorf("restored: %+v, %v", got.Registrations, err)
	}
}
