//go:build planted_loose_release

package mutation

// LooseRelease lets a release end whatever grant there is.
const LooseRelease = true
