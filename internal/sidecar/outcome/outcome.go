// Package outcome classifies the results of requests for metrics, canary comparison and the overload
// controller.
package outcome

import (
	"net/http"
	"time"
)

// Outcome is the result of a request as its client sees it.
type Outcome int

// Outcomes of requests.
const (
	InTime             Outcome = iota // served within the latency objective
	Late                              // served after the latency objective
	Refused                           // a retry is safe
	Failed                            // without a guarantee about its effect
	ClientDisconnected                // the client no longer waits for the response
)

// Of classifies a response by its status and its latency.
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

// Label returns the name of the outcome in metrics and logs, which count late responses as served.
func (o Outcome) Label() string {
	switch o {
	case InTime, Late:
		return "served"
	case Refused:
		return "refused"
	case ClientDisconnected:
		return "left"
	}
	return "failed"
}
