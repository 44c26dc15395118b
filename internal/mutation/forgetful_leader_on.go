//go:build planted_forgetful_leader

package mutation

// ForgetfulLeader lets a new leader give leases less than their full time.
const ForgetfulLeader = true
