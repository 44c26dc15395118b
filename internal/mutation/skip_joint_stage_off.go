//go:build !mutation_skip_joint_stage

package mutation

// SkipJointStage lets a rollout commit a policy without the joint stage.
const SkipJointStage = false
