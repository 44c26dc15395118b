//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["1"] = crowdCase }

const (
	crowdWatches = 1024                                                // the default of limits.watches
	toldAndGrace = 6*time.Second + 3*time.Second + 50*time.Millisecond // told at the latest, the settings' grace, the slack on sockets
	laxest       = 4*10*time.Second + 3*time.Second                    // four times ask_within_ms, and the grace
	stopAfter    = 55 * time.Second                                    // from the mark until s-1's process ends
	visitWork    = 150 * time.Millisecond
)

// watchOnce holds one watch of the list, as any caller may, until it ends.
func watchOnce(ctx context.Context, addr string, open *atomic.Int64) error {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	if _, err := io.WriteString(c, "GET /registry/instances?watch=1&from=0 HTTP/1.1\r\nHost: "+addr+"\r\n\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 1<<10), nil)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	open.Add(1)
	defer open.Add(-1)
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// startCrowd starts callers that follow the list. One whose watch is refused or ends tries again after a second, as the
// registry's Retry-After says.
func (h *harness) startCrowd(ctx context.Context, addr string) {
	var open atomic.Int64
	for range crowdWatches {
		go func() {
			for ctx.Err() == nil {
				_ = watchOnce(ctx, addr, &open)
				select {
				case <-time.After(time.Second):
				case <-ctx.Done():
				}
			}
		}()
	}
	h.eventually("all watches are taken", 30*time.Second, func() bool { return open.Load() == crowdWatches })
	h.say("disruption: %d other callers follow the list", open.Load())
}

// listedHealth asks discovery for the whole list and returns the health of a host in it.
func (h *harness) listedHealth(g *registryGroup, host string) string {
	var list struct {
		Hosts []struct {
			Host   string `json:"host"`
			Health string `json:"health"`
		} `json:"hosts"`
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, err := call(ctx, "GET", "http://"+g.addrs[0]+"/registry/instances", nil, &list)
	if err != nil || status != http.StatusOK {
		h.fail("discovery could not be reached: status %d, %v", status, err)
	}
	for _, entry := range list.Hosts {
		if entry.Host == host {
			return entry.Health
		}
	}
	return "not listed"
}

// crowdCase: discovery has as many watches open as it takes. A sidecar starts, and then a booking server begins to drain.
func crowdCase(h *harness) bool {
	g := h.startRegistry(1, nil, nil)
	s1, s2 := h.startBooking("s-1"), h.startBooking("s-2")
	h.registerOnce(g, s1.name, s1.addr)
	h.registerOnce(g, s2.name, s2.addr)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if h.trouble {
		h.startCrowd(ctx, g.addrs[0])
	}
	n1 := h.startSidecar("n1", g.addrs[0], sidecarSettings(1, 100), nil)
	n1.awaitReady(20 * time.Second)
	app := h.application(n1.addr)
	var failed atomic.Int64
	var clients sync.WaitGroup
	for range 10 {
		clients.Go(func() {
			for ctx.Err() == nil {
				got := app.send(confirmVisit, "lombarda-fibra", visitWork, 2*time.Second)
				if got.status != http.StatusOK && got.status != http.StatusServiceUnavailable {
					failed.Add(1)
				}
				time.Sleep(rand.N(100 * time.Millisecond))
			}
		})
	}
	time.Sleep(3 * time.Second)
	if _, begun := s1.load(); begun == 0 {
		h.fail("s-1 gets no requests")
	}
	callCtx, end := context.WithTimeout(ctx, 5*time.Second)
	defer end()
	status, err := call(callCtx, "POST", g.api(0, "marks"), map[string]any{"hosts": []string{"s-1"}, "by": "operator", "draining": true}, nil)
	if err != nil || status != http.StatusOK {
		h.fail("mark: status %d, %v", status, err)
	}
	marked := time.Now()
	h.say("an operator has marked s-1 as draining")
	for time.Since(marked) < toldAndGrace {
		if health := h.listedHealth(g, "s-1"); health != "draining" {
			h.fail("discovery lists s-1 as %s", health)
		}
		time.Sleep(250 * time.Millisecond)
	}
	h.say("discovery could be reached all the time, by calls for the list, and has listed s-1 as draining")
	_, before := s1.load()
	time.Sleep(time.Until(marked.Add(laxest)))
	_, late := s1.load()
	time.Sleep(time.Until(marked.Add(stopAfter)))
	running, after := s1.load()
	failedBefore := failed.Load()
	s1.kill()
	h.say("s-1 has ended, %v after its mark, with %d requests running", stopAfter, running)
	time.Sleep(time.Second)
	cancel()
	clients.Wait()
	h.say("new requests at s-1: %d between %v and %v after its mark, %d of them later than %v after it",
		after-before, toldAndGrace, stopAfter, after-late, laxest)
	h.say("%d requests failed as it ended, %d before", failed.Load()-failedBefore, failedBefore)
	return after > before
}
