//go:build mutation_restore_lower_token

package mutation

// RestoreLowerToken lets a restore take over the backup's fencing token, which may be lower.
const RestoreLowerToken = true
