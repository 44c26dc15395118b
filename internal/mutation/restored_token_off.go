//go:build !planted_restored_token

package mutation

// RestoredToken lets a restore take over the backup's token, which may be lower.
const RestoredToken = false
