//go:build planted_same_incarnation

package mutation

// SameIncarnation lets a process that starts again be the member that it was.
const SameIncarnation = true
