//go:build !mutation_reuse_incarnation

package mutation

// ReuseIncarnation lets a process that starts again be the member that the process before it was.
const ReuseIncarnation = false
