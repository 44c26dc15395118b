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

// Each server is probed by one keeper, and advice tells which do not answer.
func TestHealth(t *testing.T) {
	addr, c := startGroup(t, "g")
	var mu sync.Mutex
	probes := make(map[string]int)
	for i := range 6 {
		name := fmt.Sprint("s-", i)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			mu.Lock()
			probes[name]++
			mu.Unlock()
			if name == "s-3" {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
		t.Cleanup(s.Close)
		in := registry.Instance{Host: name, Dial: s.Listener.Addr().String(), Site: "a", Health: registry.HealthUp, Share: 1}
		if _, err := c.Register(t.Context(), registry.RegisterRequest{Instance: in}); err != nil {
			t.Fatal(err)
		}
	}
	for _, k := range []string{"k1", "k2"} {
		startKeeper(t, k, addr, "[health]\nevery_ms = 200\ntimeout_ms = 100\nfailures = 2\n")
	}
	bad := make(map[string]HealthAdvice)
	eventually(t, "advice tells of s-3", func() bool {
		for shard := range healthShards {
			r, err := c.Record(t.Context(), HealthRecordKey(shard))
			if err != nil {
				continue
			}
			if err := json.Unmarshal(r.Value, &bad); err != nil {
				t.Fatal(err)
			}
		}
		return len(bad) > 0
	})
	if a := bad["s-3"]; len(bad) != 1 || a.ConsecutiveFailures < 2 || a.SinceMS == 0 || !strings.Contains(a.LastError, "503") {
		t.Errorf("advice: %+v", bad)
	}
	if list, err := c.Registrations(t.Context()); err != nil || len(list.Registrations) != 6 {
		t.Errorf("%d servers are left, %v", len(list.Registrations), err)
	}
	eventually(t, "all are probed", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(probes) == 6
	})
}
