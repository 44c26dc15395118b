//go:build planted_silent_leave

package mutation

// SilentLeave takes the silence of a sidecar for its leaving.
const SilentLeave = true
