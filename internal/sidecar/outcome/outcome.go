// Package outcome classifies how requests end, for metrics, for the comparison of canaries and for
// the overload controller.
package outcome

import (
	"net/http"
	"time"
)

// Outcome is how a request ended for its client.
type Outcome int

// The outcomes.
const (
	InTime         Outcome = iota // served within the latency objective
	Late                          // served after it
	Refused                       // a retry is harmless
	Failed                        // with no promise about its effect
	ClientVanished                // nobody waits for the response any more
)

// Of classifies a response by its status and by the time that it took.
func Of(status int, took, objective time.Duration) Outcome {
	switch status {
	case http.StatusOK:
		if took > objective {
			return Late
		}
		return InTime
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return Refused
	}
	return Failed
}

// Label names the outcome as metrics and the log do, which don't tell late responses apart.
func (o Outcome) Label() string {
	switch o {
	case InTime, Late:
		return "served"
	case Refused:
		return "refused"
	case ClientVanished:
		return "left"
	}
	return "failed"
}
