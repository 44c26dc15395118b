package soaktest

import (
	"context"
	"net"
	"time"

	"barleywick/internal/testing/loadgen"
	"barleywick/internal/testing/wait"
)

const (
	// crowdedRuns: one run in so many has a crowd, and crowdedFraction: at one sidecar in so many.
	idleClientsRunInterval     = 3
	idleClientsSidecarInterval = 4
	// crowdSize is more connections than a sidecar has descriptors.
	idleClientCount     = 300
	idleCheckInterval = 20 * time.Millisecond
	// crowdReturns is how many of those that were closed come back in an interval.
	idleReconnectsPerCheck = 5
)

// hasCrowd reports whether idle clients fill the descriptors of some sidecars in this run.
func (f *fleet) hasIdleClients() bool { return f.Seed%idleClientsRunInterval == 0 }

// crowd opens connections to a sidecar and sends nothing on them, until ctx ends. It opens
// others for those that the sidecar closes.
func (f *fleet) runIdleClients(ctx context.Context, s *sidecar) {
	var idle []*net.TCPConn
	arrivals := idleClientCount // at once
	defer func() {
		for _, conn := range idle {
			conn.Close()
		}
	}()
	for wait.Sleep(ctx, idleCheckInterval) {
		kept := idle[:0]
		for _, conn := range idle {
			if loadgen.ClosedByPeer(conn) {
				conn.Close()
				continue
			}
			kept = append(kept, conn)
		}
		idle = kept
		for ; len(idle) < idleClientCount && arrivals > 0 && ctx.Err() == nil; arrivals-- {
			conn, err := net.DialTimeout("tcp", s.addr, idleCheckInterval)
			if err != nil {
				break // it refuses, or is being restarted
			}
			f.ledger.increment("idle clients")
			idle = append(idle, conn.(*net.TCPConn))
		}
		arrivals = idleReconnectsPerCheck
	}
}
