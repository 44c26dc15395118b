//go:build !mutation_skip_close_unused

package mutation

// SkipCloseUnused leaves connections without a request open at the shutdown deadline.
const SkipCloseUnused = false
