//go:build !mutation_release_any_grant

package mutation

// ReleaseAnyGrant lets a release end the grant of another claim.
const ReleaseAnyGrant = false
