//go:build !planted_late_roster

package mutation

// LateRoster lets a sidecar that starts serve by what it held last, before it has its seat.
const LateRoster = false
