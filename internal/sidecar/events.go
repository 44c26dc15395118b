package sidecar

import (
	"barleywick/internal/registry/client"
	"barleywick/internal/sidecar/upstream"
	"barleywick/policy"
)

// The events that I/O goroutines send to the loop.
type (
	requestArrived     struct{ request *request }
	clientDisconnected struct{ request *request } // the client has gone
	attemptEnded       struct {
		attempt *attempt
		ending  policy.Ending
		answer  *upstream.Response // with Served
	}
	probeCompleted struct {
		probe *pendingProbe
		ok    bool
		load  policy.LoadReport
	}
	endpointsListed struct{ listing client.ListUpdate }
	listingLost     struct{ loss client.ListLoss }
	handoverStarted struct {
		held chan<- []policy.BulkheadCapacity
	} // a new process takes this one's place
	predecessorReported struct{ held []policy.BulkheadCapacity } // what the old one still holds
)
