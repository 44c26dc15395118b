package sidecar

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"barleywick/internal/registry/registrytest"
	"barleywick/internal/sidecar/sidecartest"
)

// fakeExporter keeps the requests that it is asked to record.
type fakeExporter struct {
	mu     sync.Mutex
	ended  []string
	status chan func(context.Context) (Status, error)
}

func (m *fakeExporter) RecordRequest(class, tenant, outcome string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if took <= 0 {
		outcome += " in no time"
	}
	m.ended = append(m.ended, class+" "+tenant+" "+outcome)
}

func (m *fakeExporter) Serve(ctx context.Context, ln net.Listener, status func(context.Context) (Status, error)) error {
	m.status <- status
	<-ctx.Done()
	return ln.Close()
}

func TestExporterRecordsEachRequestOnce(t *testing.T) {
	u := sidecartest.NewFakeServer(t, func(r sidecartest.ReceivedRequest) (string, bool) {
		if r.Header.Get("Request-Id") == "breaks" {
			return "", true
		}
		return sidecartest.OKResponse("ok"), false
	})
	m := &fakeExporter{status: make(chan func(context.Context) (Status, error), 1)}
	c := testConfig(t, options{}, "127.0.0.1:1", registrytest.EndpointJSON("s-1", u.Addr, "up", 0))
	c.Metrics.Listen = "127.0.0.1:0"
	addr, stop, ended := startSidecar(t, c, WithMetrics(m))
	status := sidecartest.Await(t, "the start of the exporter", m.status)
	for _, id := range []string{"one", "two", "breaks"} {
		call{class: "once", id: id}.send(t, addr)
	}
	s, err := status(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	listed := 0
	for _, zone := range s.Endpoints {
		listed += zone["up"]
	}
	if s.Gate.Decided["send: allowed"] != 3 || len(s.Gate.Violated) > 0 {
		t.Errorf("got gate counters %+v, want 3 sends allowed and no violation", s.Gate)
	}
	if s.OpenRequests != 0 || len(s.Bulkheads) == 0 || s.Bulkheads[0].SlotsFree == 0 || listed != 1 || s.DecisionCounts()["Ordinary"] != 3 || s.ClientConnectionEvents["Accepted"] == 0 || s.UpstreamConnectionEvents["Opened"] == 0 {
		t.Errorf("got status %+v, want no open request, a free slot, one endpoint, 3 ordinary decisions and connection events", s)
	}
	stop()
	if err := sidecartest.Await(t, "the end of the sidecar", ended); err != nil {
		t.Fatal(err)
	}
	if _, err := status(t.Context()); err == nil {
		t.Error("got a status after the sidecar had ended, want an error")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if got := strings.Join(m.ended, ", "); !strings.HasPrefix(got, "once ") || strings.Count(got, "served") != 2 || strings.Count(got, "failed") != 1 || len(m.ended) != 3 || strings.Contains(got, "no time") {
		t.Errorf("got recorded requests %s; want 2 served and 1 failed of class once, each with a duration", got)
	}
}

// syncBuffer is a log buffer that may be written and read concurrently.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// At level debug a request can be followed through the log by its id.
func TestEachLineAboutARequestHasItsID(t *testing.T) {
	old := slog.Default()
	defer slog.SetDefault(old)
	log := new(syncBuffer)
	slog.SetDefault(slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug})))
	u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(sidecartest.OKResponse("ok")))
	addr, stop, ended := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", registrytest.EndpointJSON("s-1", u.Addr, "up", 0)))
	call{class: "once", id: "follow-me"}.send(t, addr)
	stop()
	if err := sidecartest.Await(t, "the end of the sidecar", ended); err != nil {
		t.Fatal(err)
	}
	lines := 0
	for line := range strings.Lines(log.String()) {
		if strings.Contains(line, "request ended") || strings.Contains(line, "attempt ended") {
			lines++
			if !strings.Contains(line, "request=follow-me") {
				t.Errorf("got a line without the request's id: %s", line)
			}
		}
	}
	if lines != 2 {
		t.Errorf("got %d lines about the request, want one for its attempt and one for its end:\n%s", lines, log)
	}
}
