package server

import (
	"fmt"
	"testing"
	"time"

	"barleywick/internal/testing/diskgate"
)

// A replica that is killed at any disk call of its first start starts again on the folder that
// is left, and takes part.
func TestStartAfterAKillInTheFirstStart(t *testing.T) {
	m, config := replicaWithMembership(t)
	for _, call := range startCalls(t, m, config) {
		t.Run(fmt.Sprintf("call%d", call.Number), func(t *testing.T) {
			t.Parallel()
			m, config := replicaWithMembership(t)
			r := startGated(t, config, func(c diskgate.Call) bool { return c.Number >= call.Number })
			t.Logf("killed before %v", r.awaitHeld())
			r.killAndWait()
			again := startGated(t, config, nil)
			eventually(t, "the replica is ready, or has ended", func() bool { return isReady(m) || again.hasEnded() })
			again.sendTerm()
			again.endsInTime(time.Now())
		})
	}
}
