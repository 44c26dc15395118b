//go:build planted_no_joint

package mutation

// NoJoint lets a change of policy be committed without its joint stage.
const NoJoint = true
