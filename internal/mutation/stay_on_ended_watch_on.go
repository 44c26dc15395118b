//go:build mutation_stay_on_ended_watch

package mutation

// StayOnEndedWatch lets a sidecar open no other watch when its watch has ended.
const StayOnEndedWatch = true
