// Package badclient contains clients that misuse an HTTP server: crowds of connections whose requests never
// become complete, floods of requests at full speed, and clients that close a connection over much that
// the server has not read.
package badclient

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// connectTimeout limits how long a client waits for a connection.
	connectTimeout = time.Second
	// reconnectDelay is the pause after a connection that was refused.
	reconnectDelay = 5 * time.Millisecond
)

// Partial is a request that its client never completes.
type Partial struct {
	Text string
	// Rest is sent a byte at a time, every Interval, after Text. It is empty for a client that falls silent.
	Rest     string
	Interval time.Duration
}

// Crowd opens connections that each send a Partial and wait for their end.
type Crowd struct {
	Addr    string
	Size    int // connections at once
	Request Partial
	// Before returns what the n-th connection sends before Request; nil: nothing.
	Before func(n int64) string
	// Opened counts the connections, and Ended those that the server answered or closed.
	Opened, Ended atomic.Int64
}

// Run keeps the crowd's connections open until ctx ends. A connection that ended is replaced at once.
func (c *Crowd) Run(ctx context.Context) {
	var clients sync.WaitGroup
	for range c.Size {
		clients.Go(func() {
			for ctx.Err() == nil {
				c.connect(ctx)
			}
		})
	}
	clients.Wait()
}

// connect opens one connection and returns when it has ended.
func (c *Crowd) connect(ctx context.Context) {
	conn, err := net.DialTimeout("tcp", c.Addr, connectTimeout)
	if err != nil {
		pause(ctx, reconnectDelay)
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	n := c.Opened.Add(1)
	var writer sync.WaitGroup
	writer.Go(func() { c.send(ctx, conn, n) })
	_, _ = io.Copy(io.Discard, conn) // until the server ends the connection
	c.Ended.Add(1)
	conn.Close()
	writer.Wait()
}

// send writes what the n-th connection sends.
func (c *Crowd) send(ctx context.Context, conn net.Conn, n int64) {
	text := c.Request.Text
	if c.Before != nil {
		text = c.Before(n) + text
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return
	}
	for i := range c.Request.Rest {
		if !pause(ctx, c.Request.Interval) {
			return
		}
		if _, err := io.WriteString(conn, c.Request.Rest[i:i+1]); err != nil {
			return
		}
	}
}

// Flood sends requests on one connection at full speed, and reads whatever it is sent.
type Flood struct {
	Addr string
	// Next returns the text of the next requests, which are written at once. round counts from 0.
	Next func(round int) string
	// Connections counts the connections that were opened.
	Connections atomic.Int64
}

// Run floods the server until ctx ends. A connection that ended is replaced at once.
func (f *Flood) Run(ctx context.Context) {
	for round := 0; ctx.Err() == nil; {
		conn, err := net.DialTimeout("tcp", f.Addr, connectTimeout)
		if err != nil {
			pause(ctx, reconnectDelay)
			continue
		}
		f.Connections.Add(1)
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		var reader sync.WaitGroup
		reader.Go(func() {
			_, _ = io.Copy(io.Discard, conn) // until the server ends the connection
			conn.Close()
		})
		for err = nil; err == nil; round++ {
			_, err = io.WriteString(conn, f.Next(round))
		}
		reader.Wait()
		stop()
	}
}

// Repeat returns a Flood.Next that writes the same text count times at once.
func Repeat(text string, count int) func(int) string {
	pipeline := strings.Repeat(text, count)
	return func(int) string { return pipeline }
}

// ManyFields returns count header fields that are as short as possible.
func ManyFields(count int) string {
	const digits = "0123456789abcdefghijklmnopqrstuvwxyz"
	var fields strings.Builder
	for i := range count {
		fmt.Fprintf(&fields, "%c%c:\r\n", digits[i/len(digits)%len(digits)], digits[i%len(digits)])
	}
	return fields.String()
}

// pause sleeps for d, and reports whether ctx is still active.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
