// Package mutation names faults that are built in on purpose, each under a build tag
// of its own, to show that the proofs of leases find them:
//
//	go test -tags planted_fence_off ./internal/lease/...
//
// No program of ours is built with one. docs/LEASES.md lists them and what finds each.
package mutation
