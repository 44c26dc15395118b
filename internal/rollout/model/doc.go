// Package model is a small world in which the real state machine of policy changes, the
// real followers and the leader's real decision run together, step by step. A checker that
// does not know stages looks at what each sidecar acts by.
package model
