package sidecar

import (
	"barleywick/internal/sidecar/outcome"
	"barleywick/internal/sidecar/overloadreporter"
	"barleywick/internal/sidecar/policyfollower"
)

// fleetParts are the parts that connect a sidecar to its fleet, as the event loop needs them.
type fleetParts struct {
	policy   fleetPolicy          // nil: there is no fleet policy
	overload overloadAdvice       // nil: no overload advice is taken
	member   unresponsiveReporter // nil: the sidecar is not a member of the fleet
}

// fleetPolicy is the policy follower.
type fleetPolicy interface {
	Admitting() bool
	RecordRequest(o outcome.Outcome)
	Status() policyfollower.Status
}

// overloadAdvice is the overload reporter.
type overloadAdvice interface {
	Status() overloadreporter.Status
}

// unresponsiveReporter tells the fleet of a booking server that does not answer.
type unresponsiveReporter interface{ ReportUnresponsive(host string) }
