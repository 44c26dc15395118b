// Package lease implements the holder's side of the registry's leases: it claims and renews
// them, and decides at each moment whether the tasks that run under them may still act.
//
// A holder measures the time to live from before it sent the call that the registry
// granted, and acts only for a part of that time. The registry's leader measures the whole
// time to live, from when the call arrived. So the holder has stopped before the leader
// grants the lease to another process. docs/LEASES.md states the assumptions.
package lease
