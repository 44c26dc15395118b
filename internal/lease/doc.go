// Package lease is the holder's side of the registry's leases: it claims and renews
// them, and knows at each moment whether the tasks that run under them may still act.
//
// A holder counts the time to live from before it sent the call that the registry
// granted, and acts for a part of that time only. The registry's leader counts from when
// the call arrived, and for the whole time. So the holder has stopped before the leader
// grants the lease to another process. docs/LEASES.md states the assumptions.
package lease
