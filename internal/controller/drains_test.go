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
	"barleywick/internal/registry/client"
)

// drainFleet is a registry with a server on each of two machines, and controllers k1 and k2 that
// run drains.
type drainFleet struct {
	client   *client.Client
	workflow *drain.Workflow
	stop     map[string]func() // by controller

	mu     sync.Mutex
	events []string
}

func startDrainFleet(t *testing.T) *drainFleet {
	t.Helper()
	addr, c := startGroup(t, "g")
	f := &drainFleet{client: c, stop: make(map[string]func())}
	for _, s := range []struct{ host, machine string }{{"s-1", "m-1"}, {"s-2", "m-2"}} {
		instance := registry.Instance{Host: s.host, Dial: "127.0.0.1:1", Site: "a", Health: registry.HealthUp, Share: 1}
		if _, err := c.Register(t.Context(), registry.RegisterRequest{Instance: instance, Machine: s.machine}); err != nil {
			t.Fatal(err)
		}
	}
	path := filepath.Join(t.TempDir(), "fleetctl.json")
	text, err := json.Marshal(drain.Config{Registry: []string{addr}, Floor: drain.Floor{Default: 1}, MaxRequestMS: 100, LeaseMS: 15000})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	config, err := drain.LoadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	f.workflow = config.WorkflowWith(c, "operator", 20*time.Millisecond, func(e drain.Event) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.events = append(f.events, e.String())
	})
	for _, name := range []string{"k1", "k2"} {
		f.stop[name] = startController(t, name, addr, fmt.Sprintf("[drains]\nconfig = %q\n", path))
	}
	return f
}

func (f *drainFleet) marks(t *testing.T) map[string]string {
	t.Helper()
	list, err := f.client.Registrations(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return list.Marks
}

// When the controller that runs a drain ends, another controller continues the drain.
func TestDrainContinuesOnAnotherController(t *testing.T) {
	f := startDrainFleet(t)
	w := f.workflow
	var first string
	eventually(t, "the task is held", func() bool { first = holder(t, f.client, DrainsLease); return first != "" })
	if err := w.HandOver(t.Context(), "m-1", time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	if err := w.HandOver(t.Context(), "m-1", time.Now().Add(waitTimeout)); err != nil {
		t.Errorf("handed over again: got %v, want success", err)
	}
	if err := w.HandOver(t.Context(), "m-2", time.Now().Add(waitTimeout)); !errors.Is(err, drain.ErrRefused) {
		t.Errorf("below the floor: got %v, want %v", err, drain.ErrRefused)
	}
	if err := w.Drain(t.Context(), "m-1"); !errors.Is(err, drain.ErrRefused) || !strings.Contains(err.Error(), "controllers") {
		t.Errorf("drained by an operator, too: got %v, want %v that names the controllers", err, drain.ErrRefused)
	}
	eventually(t, "its server is marked", func() bool { return f.marks(t)["s-1"] != "" })
	f.stop[first]() // the sidecars count as notified only after 6 s, so the drain is not done yet
	eventually(t, "the other controller holds the task", func() bool {
		h := holder(t, f.client, DrainsLease)
		return h != "" && h != first
	})
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	if err := w.Follow(ctx, "m-1"); err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(f.events, "; "); !strings.HasSuffix(got, "m-1: done") {
		t.Errorf("got events %s, want the last to be done", got)
	}
	if err := w.Undrain(t.Context(), "m-1"); err != nil {
		t.Fatal(err)
	}
	if marks := f.marks(t); len(marks) != 0 {
		t.Errorf("got marks %v, want none", marks)
	}
}

// A drain that was handed over is undone by the controllers when its time limit expires, and by an
// operator at any time.
func TestDrainThatWasHandedOverIsUndone(t *testing.T) {
	f := startDrainFleet(t)
	w := f.workflow
	eventually(t, "the task is held", func() bool { return holder(t, f.client, DrainsLease) != "" })
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	if err := w.HandOver(t.Context(), "m-1", time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if err := w.Follow(ctx, "m-1"); !errors.Is(err, drain.ErrTimeout) {
		t.Errorf("time limit expired: got %v, want %v", err, drain.ErrTimeout)
	}
	if err := w.HandOver(t.Context(), "m-1", time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	if err := w.Undrain(t.Context(), "m-1"); err != nil {
		t.Errorf("undone by the operator: got %v, want success", err)
	}
	if marks := f.marks(t); len(marks) != 0 {
		t.Errorf("got marks %v, want none", marks)
	}
}
