// Package rollout changes the fleet policy at all sidecars or at none. It has the policy
// document, and the workflow of a change as a state machine without I/O and without a
// clock: prepare, canary, joint, commit or abort. State is part of the registry's
// replicated state and changes by Raft; Follower is a sidecar's part and Decide the
// leader's. docs/POLICY.md describes it for operators.
package rollout
