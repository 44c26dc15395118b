//go:build mutation_ignore_list_changes

package mutation

// IgnoreListChanges lets a sidecar keep the first endpoint list that it received and ignore all changes.
const IgnoreListChanges = true
