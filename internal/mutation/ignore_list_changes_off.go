//go:build !mutation_ignore_list_changes

package mutation

// IgnoreListChanges lets a sidecar keep the first endpoint list that it was told.
const IgnoreListChanges = false
