//go:build planted_fence_off

package mutation

// FenceOff lets a write with an older token through.
const FenceOff = true
