//go:build !mutation_serve_before_join

package mutation

// ServeBeforeJoin lets a starting sidecar serve with its stored policy before it is in the roster.
const ServeBeforeJoin = false
