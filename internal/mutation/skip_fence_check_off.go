//go:build !mutation_skip_fence_check

package mutation

// SkipFenceCheck lets a write through whose fencing token is older than the newest grant's.
const SkipFenceCheck = false
