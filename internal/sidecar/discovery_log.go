package sidecar

import (
	"log/slog"
	"time"

	"barleywick/internal/registry/client"
)

// noWatchLogAfter is the time without a watch of the endpoint list after which it is logged.
const noWatchLogAfter = time.Minute

// discoveryLogger logs that a sidecar lives without a watch of the endpoint list.
type discoveryLogger struct{ status func() client.WatchStatus }

// LogCounters logs how long there has been no watch, and how old the list is.
func (d discoveryLogger) LogCounters() {
	if s := d.status(); !s.Open && s.For >= noWatchLogAfter {
		slog.Warn("discovery: no watch", "for", s.For, "list_age", s.ListAge)
	}
}
