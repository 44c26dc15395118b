//go:build !mutation_restore_lower_token

package mutation

// RestoreLowerToken lets a restore set the last fencing token to the backup's, which may be lower.
const RestoreLowerToken = false
