package sidecar

import (
	"barleywick/internal/sidecar/outcome"
	"barleywick/internal/sidecar/overloadreporter"
	"barleywick/internal/sidecar/policyfollower"
)

// fleetComponents are the components that connect a sidecar to its fleet, as the event loop uses them.
type fleetComponents struct {
	policy   fleetPolicy          // nil: there is no fleet policy
	overload overloadStatusSource // nil: overload advice is not used
	member   unresponsiveReporter // nil: the sidecar is not a member of the fleet
}

// fleetPolicy is implemented by the policy follower.
type fleetPolicy interface {
	Admitting() bool
	RecordRequest(o outcome.Outcome)
	Status() policyfollower.Status
}

// overloadStatusSource is implemented by the overload reporter.
type overloadStatusSource interface {
	Status() overloadreporter.Status
}

// unresponsiveReporter reports to the fleet that a booking server does not respond.
type unresponsiveReporter interface{ ReportUnresponsive(host string) }
