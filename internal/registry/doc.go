// Package registry holds the endpoint list as a replicated state machine: registered
// instances, a bounded log of list changes, drain marks, records, leases and the fleet
// policy's rollout. Commands go in; results and list updates come out. It does no I/O,
// starts no goroutine and reads no clock. Time enters only as a field of a command, so
// every replica that applies the same commands holds the same state.
//
// The package also defines the messages and paths of the registry's HTTP API, which the
// server and the client share.
//
// Nothing here is safe for concurrent use.
package registry
