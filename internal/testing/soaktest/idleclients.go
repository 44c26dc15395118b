package soaktest

import (
	"context"
	"net"
	"time"

	"barleywick/internal/testing/loadgen"
	"barleywick/internal/testing/wait"
)

const (
	// Idle clients fill the descriptors in one of idleClientsRunInterval runs, and in these at one of
	// idleClientsSidecarInterval sidecars.
	idleClientsRunInterval     = 3
	idleClientsSidecarInterval = 4
	// idleClientCount is more than the descriptors that a sidecar has.
	idleClientCount   = 300
	idleCheckInterval = 20 * time.Millisecond
	// idleReconnectsPerCheck is how many connections are opened in place of closed ones per check.
	idleReconnectsPerCheck = 5
)

// hasIdleClients reports whether idle clients fill the descriptors of some sidecars in this run.
func (f *fleet) hasIdleClients() bool { return f.Seed%idleClientsRunInterval == 0 }

// runIdleClients opens connections to a sidecar and keeps them idle until ctx ends. It replaces those
// that the sidecar closes.
func (f *fleet) runIdleClients(ctx context.Context, s *sidecar) {
	var idle []*net.TCPConn
	toOpen := idleClientCount // in the first interval
	defer func() {
		for _, conn := range idle {
			conn.Close()
		}
	}()
	for wait.Sleep(ctx, idleCheckInterval) {
		open := idle[:0]
		for _, conn := range idle {
			if loadgen.ClosedByPeer(conn) {
				conn.Close()
				continue
			}
			open = append(open, conn)
		}
		idle = open
		for ; len(idle) < idleClientCount && toOpen > 0 && ctx.Err() == nil; toOpen-- {
			conn, err := net.DialTimeout("tcp", s.addr, idleCheckInterval)
			if err != nil {
				break // the sidecar refuses connections or is being restarted
			}
			f.ledger.increment("idle clients")
			idle = append(idle, conn.(*net.TCPConn))
		}
		toOpen = idleReconnectsPerCheck
	}
}
