package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"barleywick/internal/drain"
	"barleywick/internal/registry"
)

// A drain that was handed over goes on when its keeper is gone, with another.
func TestDrainGoesOn(t *testing.T) {
	addr, c := startGroup(t, "g")
	config := filepath.Join(t.TempDir(), "ctl.json")
	text, _ := json.Marshal(drain.Config{Registry: []string{addr}, Floor: drain.Floor{Default: 1}, MaxRequestMS: 100, LeaseMS: 15000})
	if err := os.WriteFile(config, text, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, s := range [][2]string{{"s-1", "m-1"}, {"s-2", "m-2"}} {
		i := registry.Instance{Host: s[0], Dial: "127.0.0.1:1", Site: "a", Health: registry.HealthUp, Share: 1}
		if _, err := c.Register(t.Context(), registry.RegisterRequest{Instance: i, Machine: s[1]}); err != nil {
			t.Fatal(err)
		}
	}
	leave := make(map[string]func())
	for _, k := range []string{"k1", "k2"} {
		leave[k] = startKeeper(t, k, addr, fmt.Sprintf("[drains]\nconfig = %q\n", config))
	}
	var first string
	eventually(t, "the task is held", func() bool { first = holder(t, c, DrainsLease); return first != "" })
	cfg, err := drain.LoadConfig(config)
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var said []string
	w := cfg.WorkflowWith(c, "operator", 20*time.Millisecond, func(e drain.Event) {
		mu.Lock()
		defer mu.Unlock()
		said = append(said, e.String())
	})
	if err := w.HandOver(t.Context(), "m-1", time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	if err := w.HandOver(t.Context(), "m-1", time.Now().Add(patience)); err != nil {
		t.Errorf("handed over twice: %v", err)
	}
	if err := w.HandOver(t.Context(), "m-2", time.Now().Add(patience)); !errors.Is(err, drain.ErrRefused) {
		t.Errorf("below the floor: %v", err)
	}
	if err := w.Drain(t.Context(), "m-1"); !errors.Is(err, drain.ErrRefused) || !strings.Contains(err.Error(), "controllers") {
		t.Errorf("an operator beside the keepers: %v", err)
	}
	eventually(t, "its servers are marked", func() bool {
		got, err := c.Registrations(t.Context())
		return err == nil && got.Marks["s-1"] != ""
	})
	leave[first]() // the sidecars count as told after 6 s: it is far from done
	eventually(t, "the other keeper has it", func() bool { h := holder(t, c, DrainsLease); return h != "" && h != first })
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	if err := w.Follow(ctx, "m-1"); err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(said, "; "); !strings.HasSuffix(got, "m-1: done") {
		t.Errorf("told: %s", got)
	}
	// One whose time is up is undone by the keepers, and one that is taken back as well.
	if err := w.Undrain(t.Context(), "m-1"); err != nil {
		t.Fatal(err)
	}
	if err := w.HandOver(t.Context(), "m-1", time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if err := w.Follow(ctx, "m-1"); !errors.Is(err, drain.ErrTimeout) {
		t.Errorf("out of time: %v", err)
	}
	if err := w.HandOver(t.Context(), "m-1", time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	if err := w.Undrain(t.Context(), "m-1"); err != nil {
		t.Errorf("taken back from the keepers: %v", err)
	}
	if got, err := c.Registrations(t.Context()); err != nil || len(got.Marks) != 0 {
		t.Errorf("marks are left: %v, %v", got.Marks, err)
	}
}
