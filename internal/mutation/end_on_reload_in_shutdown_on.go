//go:build mutation_end_on_reload_in_shutdown

package mutation

// EndOnReloadInShutdown lets SIGHUP terminate a sidecar that is shutting down.
const EndOnReloadInShutdown = true
