//go:build mutation_skip_close_unused

package mutation

// SkipCloseUnused leaves connections without a request open at the end of a shutdown's time.
const SkipCloseUnused = true
