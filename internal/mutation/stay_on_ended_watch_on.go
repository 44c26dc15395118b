//go:build mutation_stay_on_ended_watch

package mutation

// StayOnEndedWatch keeps a sidecar from opening a new watch after its watch has ended.
const StayOnEndedWatch = true
