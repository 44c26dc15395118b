// Package registry implements the replicated state machine behind the endpoint list:
// registered instances, a bounded log of list changes, drain marks, records, leases and
// the fleet policy's rollout. It applies commands and returns results and list updates.
// It does no I/O, starts no goroutine and reads no clock. A command carries its own time,
// so every replica that applies the same commands has the same state.
//
// The package also defines the messages and paths of the registry's HTTP API, which are
// used by both the server and the client.
//
// Unless stated otherwise, types in this package are not safe for concurrent use.
package registry
