//go:build mutation_reuse_incarnation

package mutation

// ReuseIncarnation lets a restarted process join with the same incarnation as its predecessor.
const ReuseIncarnation = true
