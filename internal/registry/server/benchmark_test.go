package server

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"barleywick/internal/registry"
)

const (
	watcherCount  = 300
	instanceCount = 200
)

// loadedGroup starts a group of one replica with instanceCount instances. The watchers of
// these benchmarks are raw connections in the same process, so the results include their cost.
func loadedGroup(b *testing.B) *group {
	b.Helper()
	g := startGroup(b, 1)
	c := g.client()
	for i := range instanceCount {
		if _, err := c.Register(testContext(b), registry.RegisterRequest{Instance: instance(fmt.Sprint("s-", i), 1)}); err != nil {
			b.Fatal(err)
		}
	}
	return g
}

// watchRaw opens a watch and calls onLine for each line that is not empty.
func watchRaw(b *testing.B, addr string, from uint64, onLine func()) (end func()) {
	b.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	fmt.Fprintf(c, "GET %s?watch=1&from=%d HTTP/1.1\r\nHost: x\r\n\r\n", registry.ListPath, from)
	in := bufio.NewReaderSize(c, 1<<10)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		b.Fatal(err)
	}
	var done sync.WaitGroup
	done.Go(func() {
		lines := bufio.NewReaderSize(resp.Body, 1<<10)
		for {
			line, err := lines.ReadSlice('\n')
			if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
				return
			}
			if err == nil && len(line) > 1 {
				onLine()
			}
		}
	})
	return func() {
		c.Close()
		done.Wait()
	}
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkWatchers measures the cost of sending a change to all watchers, and the memory
// used per idle watcher.
func BenchmarkWatchers(b *testing.B) {
	g := loadedGroup(b)
	n, c := g.nodes[0], g.client()
	memory := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc + m.StackInuse)
	}
	before := memory()
	lines := make(chan struct{}, watcherCount)
	for range watcherCount {
		defer watchRaw(b, n.member.HTTP, n.stateMachine.seq(), func() { lines <- struct{}{} })()
	}
	for range watcherCount { // the first line reports no change
		<-lines
	}
	perWatcher := (memory() - before) / watcherCount
	bytes, frames, used := n.broadcaster.eventBytes.Load(), n.broadcaster.eventCount.Load(), cpuTime(b)
	b.ResetTimer()
	i := int64(1)
	for b.Loop() {
		i++
		if _, err := c.Register(context.Background(), registry.RegisterRequest{Instance: instance("s-1", i)}); err != nil {
			b.Fatal(err)
		}
		for range watcherCount {
			<-lines
		}
	}
	changes := float64(n.broadcaster.eventCount.Load() - frames)
	b.ReportMetric(perWatcher, "B/watcher")
	b.ReportMetric(float64(n.broadcaster.eventBytes.Load()-bytes)/changes, "B/change")
	b.ReportMetric(float64(cpuTime(b)-used)/changes/1e3, "cpu-µs/change")
}

// BenchmarkNewLeader measures how long a group of three accepts no write after its leader
// crashed, in election timeouts.
func BenchmarkNewLeader(b *testing.B) {
	var gap time.Duration
	rounds := 0
	for b.Loop() {
		b.StopTimer()
		g := startGroup(b, 3)
		c := g.client()
		leader := g.leader()
		b.StartTimer()
		begin := time.Now()
		var stopped sync.WaitGroup
		stopped.Go(leader.stop) // takes longer than the election among the other replicas
		if _, err := c.Register(testContext(b), registry.RegisterRequest{Instance: instance("s-1", 1)}); err != nil {
			b.Fatal(err)
		}
		gap += time.Since(begin)
		rounds++
		b.StopTimer()
		stopped.Wait()
		for _, n := range g.nodes {
			n.stop()
		}
		b.StartTimer()
	}
	b.ReportMetric(float64(gap)/float64(rounds)/float64(200*time.Millisecond), "elections")
}
