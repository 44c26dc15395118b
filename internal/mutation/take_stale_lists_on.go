//go:build mutation_take_stale_lists

package mutation

// TakeStaleLists lets a stale endpoint list replace a later one.
const TakeStaleLists = true
