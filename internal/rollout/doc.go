// Package rollout changes the fleet policy at all sidecars or at none. It defines the policy
// document, and the workflow of a change as a state machine without I/O and without a
// clock: prepare, canary, joint, commit or abort. State is part of the registry's
// replicated state and is changed by Raft commands; Follower is the sidecar's side of a
// rollout, and Decide the leader's. docs/POLICY.md describes it for operators.
package rollout
