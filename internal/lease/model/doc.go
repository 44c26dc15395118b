// Package model is a small world in which the real state machine of leases, the leader's
// real claim tracker and the holder's real sessions run together, step by step, without a
// clock, a network or a goroutine. The world lists what may happen next. Search tries all
// of it to a depth; Walk draws it from a seed. A checker that shares no code with leases
// watches what was granted and done.
package model
