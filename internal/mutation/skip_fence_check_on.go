//go:build mutation_skip_fence_check

package mutation

// SkipFenceCheck accepts a write whose fencing token is lower than the newest grant's.
const SkipFenceCheck = true
