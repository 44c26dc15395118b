package controller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"barleywick/internal/registry"
)

// All servers are probed, and the advice lists only those whose probes fail.
func TestHealthAdvice(t *testing.T) {
	addr, c := startGroup(t, "g")
	var mu sync.Mutex
	probes := make(map[string]int)
	for i := range 6 {
		name := fmt.Sprint("s-", i)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			mu.Lock()
			probes[name]++
			mu.Unlock()
			if name == "s-3" {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
		t.Cleanup(s.Close)
		instance := registry.Instance{Host: name, Dial: s.Listener.Addr().String(), Site: "a", Health: registry.HealthUp, Share: 1}
		if _, err := c.Register(t.Context(), registry.RegisterRequest{Instance: instance}); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range []string{"k1", "k2"} {
		startController(t, name, addr, "[health]\nevery_ms = 200\ntimeout_ms = 100\nfailures = 2\n")
	}
	advice := make(map[string]HealthAdvice)
	eventually(t, "there is advice", func() bool {
		for shard := range healthShards {
			r, err := c.Record(t.Context(), HealthRecordKey(shard))
			if err != nil {
				continue
			}
			if err := json.Unmarshal(r.Value, &advice); err != nil {
				t.Fatal(err)
			}
		}
		return len(advice) > 0
	})
	if a := advice["s-3"]; len(advice) != 1 || a.ConsecutiveFailures < 2 || a.SinceMS == 0 || !strings.Contains(a.LastError, "503") {
		t.Errorf("got advice %+v, want two failures or more of s-3 with status 503", advice)
	}
	if list, err := c.Registrations(t.Context()); err != nil || len(list.Registrations) != 6 {
		t.Errorf("got %d servers, %v, want all 6", len(list.Registrations), err)
	}
	eventually(t, "all servers are probed", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(probes) == 6
	})
}
