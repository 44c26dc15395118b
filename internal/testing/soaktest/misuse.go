package soaktest

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"barleywick/internal/testing/badclient"
	"barleywick/internal/testing/wait"
)

// In one of misuseRunInterval runs, clients misuse one of misuseSidecarInterval sidecars.
const (
	misuseRunInterval     = 2 // with Options.Misuse
	misuseSidecarInterval = 4
)

const (
	misuseCrowd       = 300 // connections at once; more than the descriptors that a sidecar has for clients
	misusePipeline    = 100 // requests that are written at once
	maxMisuseTime     = 1500 * time.Millisecond
	maxMisusePause    = 500 * time.Millisecond
	repeatDelay       = 50 * time.Millisecond  // from a request until its client leaves
	maxRepeatPause    = 600 * time.Millisecond // until the same id comes again
	overrunLength     = 400 << 10              // bytes behind a request, more than a receive buffer holds
	maxOverrunTime    = 300 * time.Millisecond // until the client of an overrun leaves
	misuseFloods      = 3                      // connections of a flood
	partialBodyLength = 60_000
	misuseFieldCount  = 2500
)

// misuse is a kind of misbehaving client.
type misuse int

const (
	misusePartialBodies misuse = iota
	misuseManyFields
	misuseHealthFlood
	misuseMalformedFlood
	misuseRepeatedID
	misuseOverrun
	numMisuses
)

func (m misuse) String() string {
	return [...]string{"partial bodies", "many fields", "health flood", "malformed flood", "repeated id", "overrun"}[m]
}

// hasMisuse reports whether clients misuse some sidecars in this run.
func (f *fleet) hasMisuse() bool { return f.Misuse && f.Seed%misuseRunInterval == 1 }

// runMisuse misuses a sidecar in different ways, one after the other, until ctx ends.
func (f *fleet) runMisuse(ctx context.Context, s *sidecar, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		kind := misuse(rng.IntN(int(numMisuses)))
		duration := time.Duration(rng.Int64N(int64(maxMisuseTime)))
		f.ledger.increment("misuse: " + kind.String())
		f.logEvent("misuse of %s: %v", s.name, kind)
		kindCtx, cancel := context.WithTimeout(ctx, duration)
		switch kind {
		case misusePartialBodies, misuseManyFields:
			(&badclient.Crowd{Addr: s.addr, Size: misuseCrowd, Request: partialRequest(kind)}).Run(kindCtx)
		case misuseHealthFlood:
			f.flood(kindCtx, s, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		case misuseMalformedFlood:
			f.flood(kindCtx, s, "GET /api HTTP/1.1\r\nHost: x\r\nRequest-Class: nobody\r\n\r\n")
		case misuseRepeatedID:
			f.repeatID(ctx, s, fmt.Sprintf("%s-repeated-%d", s.name, n), time.Duration(rng.Int64N(int64(maxRepeatPause))))
		case misuseOverrun:
			f.overrun(ctx, s, fmt.Sprintf("%s-overrun-%d", s.name, n), time.Duration(rng.Int64N(int64(maxOverrunTime))))
		}
		cancel()
		wait.Sleep(ctx, time.Duration(rng.Int64N(int64(maxMisusePause))))
	}
}

// partialRequest returns a request that is never completed.
func partialRequest(kind misuse) badclient.Partial {
	head := "POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: partial\r\nRequest-Class: once\r\nRequest-Timeout: 1\r\n"
	if kind == misuseManyFields {
		return badclient.Partial{Text: head + badclient.ManyFields(misuseFieldCount)}
	}
	return badclient.Partial{Text: fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, partialBodyLength+1, strings.Repeat("x", partialBodyLength))}
}

// flood sends the same request at full speed on several connections.
func (f *fleet) flood(ctx context.Context, s *sidecar, text string) {
	for range misuseFloods - 1 {
		f.clientTasks.Go(func() { (&badclient.Flood{Addr: s.addr, Next: badclient.Repeat(text, misusePipeline)}).Run(ctx) })
	}
	(&badclient.Flood{Addr: s.addr, Next: badclient.Repeat(text, misusePipeline)}).Run(ctx)
}

// misusedRequest records a non-idempotent request of a misbehaving client, and returns it with its text.
func (f *fleet) misusedRequest(s *sidecar, id string) (*request, string) {
	r := &request{id: id, class: "once", sidecar: s, timeout: longestDeadline, behaviour: disconnectEarly}
	f.ledger.addRequest(r)
	return r, fmt.Sprintf("POST /api HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\nRequest-Class: once\r\nRequest-Timeout: %.3f\r\nContent-Length: 0\r\n\r\n",
		id, longestDeadline.Seconds())
}

// sendAndLeave writes a request with more behind it, and closes the connection after a time.
func (f *fleet) sendAndLeave(s *sidecar, r *request, text string, after time.Duration) {
	conn, err := net.DialTimeout("tcp", s.addr, connectTimeout)
	if err != nil {
		return // the sidecar is being restarted
	}
	go func() { _, _ = io.Copy(io.Discard, conn) }() // ends with the connection
	began := time.Now()
	f.ledger.update(func() { r.complete = began })
	conn.SetWriteDeadline(began.Add(after))
	_, _ = io.WriteString(conn, text) // fails at the deadline if the sidecar does not read all of it
	time.Sleep(time.Until(began.Add(after)))
	f.ledger.update(func() { r.clientClosed = time.Now() })
	conn.Close()
}

// repeatID sends a request, leaves before its answer and sends the same request again.
func (f *fleet) repeatID(ctx context.Context, s *sidecar, id string, pause time.Duration) {
	r, text := f.misusedRequest(s, id)
	f.sendAndLeave(s, r, text, repeatDelay)
	if s.isDown() || !wait.Sleep(ctx, pause) {
		return
	}
	conn, err := net.DialTimeout("tcp", s.addr, connectTimeout)
	if err != nil {
		return // the sidecar is being restarted
	}
	f.ledger.update(func() { r.complete, r.clientClosed = time.Now(), time.Time{} }) // the client is there again
	_, _ = io.WriteString(conn, text)                                                // the sidecar may be ending
	conn.SetReadDeadline(time.Now().Add(longestDeadline))
	_, _ = io.ReadFull(conn, make([]byte, 1)) // until its response, whatever that is
	f.ledger.update(func() { r.clientClosed = time.Now() })
	conn.Close()
}

// overrun sends a request with more behind it than the sidecar's kernel takes, and leaves.
func (f *fleet) overrun(_ context.Context, s *sidecar, id string, after time.Duration) {
	r, text := f.misusedRequest(s, id)
	behind := "POST /api HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: nobody\r\nRequest-Class: once\r\nRequest-Timeout: 1\r\nContent-Length: 0\r\n\r\n"
	f.sendAndLeave(s, r, text+strings.Repeat(behind, overrunLength/len(behind)), after)
}
