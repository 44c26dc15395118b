// Package mutation declares faults that can be built into the programs, each with its own build
// tag, to verify that the tests and the model checker detect them:
//
//	go test -tags mutation_skip_fence_check ./internal/lease/...
//
// A mutation is a constant that is false unless the program is built with the tag
// mutation_NAME, where NAME is the constant's name in snake case. Released programs contain
// none. docs/LEASES.md, docs/POLICY.md, docs/MEMBERSHIP.md and docs/TESTING.md list the tests
// that detect each mutation.
package mutation
