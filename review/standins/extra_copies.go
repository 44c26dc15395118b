//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["copies"] = copiesCase }

const (
	copyDelay    = 13 * time.Millisecond // by which a second copy comes late
	copyPercent  = 5                     // of the answers that have a second copy
	copyRun      = 40 * time.Second
	copyServers  = 8
	copySidecars = 2
	copyClients  = 20 // for each sidecar
	leastServed  = 500
)

const confirmed = "confirmed" // the answer to each confirm-visit

// copyingBooking is a booking server as the protocol page describes it. Behind some answers it sends a second copy, some
// milliseconds late. Its answer to a hold-slot names the request; all of its answers to a confirm-visit are alike.
type copyingBooking struct {
	h      *harness
	name   string
	addr   string
	copies atomic.Int64
}

func (h *harness) startCopyingBooking(name string) *copyingBooking {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	h.must(err, name)
	b := &copyingBooking{h: h, name: name, addr: ln.Addr().String()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	h.onClose(func() { ln.Close() })
	return b
}

// serve answers the requests of one connection, one at a time.
func (b *copyingBooking) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	var writing sync.Mutex
	write := func(text string) error {
		writing.Lock()
		defer writing.Unlock()
		_, err := io.WriteString(c, text)
		return err
	}
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(req.Body); err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		b.h.note("%s: runs %s", b.name, id)
		time.Sleep(time.Duration(20+rand.IntN(20)) * time.Millisecond)
		body := confirmed
		if req.Header.Get("Request-Class") == holdSlot {
			body = bodyOf(id)
		}
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if write(text) != nil {
			return
		}
		if b.h.trouble && rand.IntN(100) < copyPercent {
			b.copies.Add(1)
			time.AfterFunc(copyDelay, func() {
				b.h.note("%s: disruption: second copy of the answer to %s", b.name, id)
				_ = write(text) // the sidecar may have closed the connection
			})
		}
	}
}

// copiesCase: second copies of answers come some milliseconds late.
func copiesCase(h *harness) bool {
	g := h.startRegistry(1, nil, nil)
	var servers []*copyingBooking
	for i := range copyServers {
		b := h.startCopyingBooking(fmt.Sprint("s-", i+1))
		h.registerOnce(g, b.name, b.addr)
		servers = append(servers, b)
	}
	settings := sidecarSettings(copySidecars, 500)
	var sidecars []*sidecarProcess
	for i := range copySidecars {
		connections := map[string]any{"servers": map[string]any{"per_server": 4}}
		sidecars = append(sidecars, h.startSidecar(fmt.Sprint("n", i+1), g.addrs[0], settings, map[string]any{"connections": connections}))
	}
	for _, s := range sidecars {
		s.awaitReady(20 * time.Second)
	}
	var served, foreign, other, unknown atomic.Int64
	var clients sync.WaitGroup
	until := time.Now().Add(copyRun)
	for _, s := range sidecars {
		app := h.application(s.addr)
		for range copyClients {
			clients.Go(func() {
				for time.Now().Before(until) {
					class, timeout := holdSlot, 4*time.Second
					if rand.IntN(100) < 20 {
						class, timeout = confirmVisit, 2*time.Second
					}
					switch got := app.send(class, "lombarda-fibra", 0, timeout); {
					case got.status != http.StatusOK:
						other.Add(1)
					case class == holdSlot && got.body == bodyOf(got.id), class == confirmVisit && got.body == confirmed:
						served.Add(1)
					case class == holdSlot && got.body == confirmed, strings.HasPrefix(got.body, bodyOf("")):
						if foreign.Add(1) <= 10 {
							h.say("foreign: %v", got)
						}
					default:
						unknown.Add(1)
						h.say("no server sends this answer: %v", got)
					}
					time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
				}
			})
		}
	}
	clients.Wait()
	copies := int64(0)
	for _, b := range servers {
		copies += b.copies.Load()
	}
	h.say("%d second copies; %d clients got the answer made for their request, %d that of another one, %d were refused or failed",
		copies, served.Load(), foreign.Load(), other.Load())
	if served.Load() < leastServed || unknown.Load() > 0 {
		h.fail("%d were served, %d got an answer that no server sends", served.Load(), unknown.Load())
	}
	return foreign.Load() > 0
}
