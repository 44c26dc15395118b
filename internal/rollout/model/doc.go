// Package model checks rollouts by model checking: a World runs the real state machine of policy
// changes, the real followers and the leader's real decisions together, step by step. A checker
// that does not depend on the stages checks the policy by which each sidecar acts.
package model
