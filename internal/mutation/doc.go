// Package mutation holds faults that can be built into the product, each under a build tag
// of its own, to show that the tests and the model checker find them:
//
//	go test -tags mutation_skip_fence_check ./internal/lease/...
//
// A mutation is a constant, which is false unless the program is built with the tag
// mutation_NAME, NAME being the constant's name in small letters with underscores. No program
// is released with one. docs/LEASES.md, docs/POLICY.md, docs/MEMBERSHIP.md and
// docs/TESTING.md list what finds each.
package mutation
