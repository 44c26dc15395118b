package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"time"
)

const (
	// lastConnections is how long new connections come after a planned restart was
	// announced: the protocol says 0.4 s, and half as much again is for those that
	// wait to be accepted by then. A request that comes after 0.7 s and is not
	// answered is lost, so the listener has to be closed before.
	lastConnections = 600 * time.Millisecond
)

// shutDown ends service for a planned restart. New connections go on coming for
// a while, and closing the listener resets those that wait to be accepted: it
// stays open until then, while every answer tells its client to close. After that
// it ends as soon as every connection has ended, and not before: whatever a
// sidecar has taken when it ends by itself is lost, however long its client has
// given it. That nothing holds it up for ever follows from the deadlines that
// every connection has in every state.
func shutDown(server *http.Server, l *limitedListener) error {
	begin := time.Now()
	l.drain() // none that is idle may get a request after the listener has gone
	slog.Info("draining", "connections", l.open())
	time.Sleep(lastConnections)
	if err := l.stopAccepting(); err != nil {
		return fmt.Errorf("stop listening: %w", err)
	}
	slog.Info("finishing", "connections", l.open())
	<-l.gone
	if err := server.Shutdown(context.Background()); err != nil { // nothing is left to wait for
		return fmt.Errorf("shut down: %w", err)
	}
	slog.Info("ended", "took", time.Since(begin))
	return nil
}
