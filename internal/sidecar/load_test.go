package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"barleywick/internal/registry/registrytest"
	"barleywick/internal/sidecar/sidecartest"
)

// Benchmarks of client connections under load, for comparing the figures before and after a change:
//
//	go test -run xxx -bench Load ./internal/sidecar
//
// Clients and booking server run in the same process: the figures include their cost, before and after.

const loadSockets = 4096

// startLoadedSidecar runs a sidecar whose booking server responds when release is closed.
func startLoadedSidecar(b *testing.B, release <-chan struct{}) (addr string) {
	b.Helper()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	ln := sidecartest.ListenLoopback(b)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					io.Copy(io.Discard, req.Body)
					<-release
					if _, err := io.WriteString(c, sidecartest.OKResponse("ok")); err != nil {
						return
					}
				}
			}()
		}
	}()
	c := testConfig(b, options{sockets: loadSockets}, "127.0.0.1:1", registrytest.EndpointJSON("s-1", ln.Addr().String(), "up", 0))
	c.Policy.Slots = loadSockets // so that bulkheads do not limit the load
	addr, _, _ = startSidecar(b, c)
	return addr
}

func closedChannel() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// loadClient is a client connection with as little overhead as possible.
type loadClient struct {
	net.Conn
	buf [512]byte
}

func newLoadClient(b *testing.B, addr string) *loadClient {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(time.Minute))
	return &loadClient{Conn: c}
}

func (c *loadClient) send(n uint64) error {
	_, err := c.Write(fmt.Appendf(c.buf[:0], "POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: %d\r\nRequest-Class: once\r\nTenant: acme\r\nRequest-Timeout: 4\r\nContent-Length: 0\r\n\r\n", n))
	return err
}

func (c *loadClient) read() error {
	for got := 0; ; {
		n, err := c.Read(c.buf[got:])
		if err != nil {
			return err
		}
		if got += n; string(c.buf[got-2:got]) == "ok" { // the end of the response body
			return nil
		}
	}
}

var loadIDs atomic.Uint64

func (c *loadClient) roundTrip() error {
	if err := c.send(loadIDs.Add(1)); err != nil {
		return err
	}
	return c.read()
}

// loadClients is the number of clients per processor: an upstream connection is quarantined between two
// requests, and a single client would measure the quarantine.
const loadClients = 16

// BenchmarkLoadRequest measures a request on a reused connection.
func BenchmarkLoadRequest(b *testing.B) {
	addr := startLoadedSidecar(b, closedChannel())
	b.ReportAllocs()
	b.SetParallelism(loadClients)
	b.RunParallel(func(pb *testing.PB) {
		c := newLoadClient(b, addr)
		defer c.Close()
		for pb.Next() {
			if err := c.roundTrip(); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// BenchmarkLoadConnect measures a connection with a single request.
func BenchmarkLoadConnect(b *testing.B) {
	addr := startLoadedSidecar(b, closedChannel())
	b.ReportAllocs()
	b.SetParallelism(loadClients)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c := newLoadClient(b, addr)
			if err := c.roundTrip(); err != nil {
				b.Error(err)
				return
			}
			c.Close()
		}
	})
}

// BenchmarkLoadMemory measures the memory and descriptors of a connection: a silent one, an idle one, and
// one whose request is in progress at a booking server.
func BenchmarkLoadMemory(b *testing.B) {
	const conns = 400
	for _, kind := range []string{"silent", "idle", "busy"} {
		b.Run(kind, func(b *testing.B) {
			var bytes, fds float64
			for range b.N {
				release := make(chan struct{})
				responses := (<-chan struct{})(release)
				if kind != "busy" {
					responses = closedChannel()
				}
				addr := startLoadedSidecar(b, responses)
				first := newLoadClient(b, addr) // causes the allocations that do not depend on the number of connections
				if kind == "idle" {
					first.send(loadIDs.Add(1))
					first.read()
				}
				memory, files := resourcesHeld(b)
				clients := make([]*loadClient, conns)
				for i := range clients {
					clients[i] = newLoadClient(b, addr)
					if kind == "silent" {
						continue
					}
					if err := clients[i].send(loadIDs.Add(1)); err != nil {
						b.Fatal(err)
					}
					if kind == "idle" {
						if err := clients[i].read(); err != nil {
							b.Fatal(err)
						}
					}
				}
				time.Sleep(100 * time.Millisecond) // the requests are in transit; the figure is a mean, not a check
				nowMemory, nowFiles := resourcesHeld(b)
				bytes += (nowMemory - memory) / conns
				fds += (nowFiles - files) / conns
				close(release)
				for _, c := range append(clients, first) {
					c.Close()
				}
			}
			b.ReportMetric(bytes/float64(b.N), "B/conn")
			b.ReportMetric(fds/float64(b.N), "fds/conn")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// resourcesHeld returns the bytes of heap and stacks, and the number of descriptors, of this process.
func resourcesHeld(b *testing.B) (memory, files float64) {
	runtime.GC()
	runtime.GC() // the second collection empties the pools
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	names, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		b.Skip("descriptors cannot be counted here:", err)
	}
	return float64(m.HeapAlloc + m.StackInuse), float64(len(names))
}

// BenchmarkLoadDrain measures how long a graceful shutdown takes, as a multiple of the remaining time of the
// longest request. For the first 0.4 s of it, the protocol allows connections to arrive.
func BenchmarkLoadDrain(b *testing.B) {
	for _, remaining := range []time.Duration{time.Second, 3 * time.Second} {
		b.Run(remaining.String(), func(b *testing.B) {
			slog.SetDefault(slog.New(slog.DiscardHandler))
			var ratio, rounds float64
			for b.Loop() {
				u := sidecartest.NewFakeServer(b, func(sidecartest.ReceivedRequest) (string, bool) {
					time.Sleep(remaining)
					return sidecartest.OKResponse("ok"), false
				})
				addr, stop, ended := startSidecar(b, testConfig(b, options{}, "127.0.0.1:1", registrytest.EndpointJSON("s-1", u.Addr, "up", 0)))
				c := newLoadClient(b, addr)
				if err := c.send(loadIDs.Add(1)); err != nil {
					b.Fatal(err)
				}
				<-u.Requests
				begun := time.Now()
				stop()
				if err := c.read(); err != nil {
					b.Fatal(err)
				}
				<-ended
				ratio += float64(time.Since(begun)) / float64(remaining)
				rounds++
				c.Close()
			}
			b.ReportMetric(ratio/rounds, "rest/rest")
			b.ReportMetric(0, "ns/op")
		})
	}
}
