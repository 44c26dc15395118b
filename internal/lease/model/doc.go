// Package model checks leases by model checking: a World runs the real state machine of leases,
// the leader's real claim tracker and the holders' real sessions together, step by step, without
// a clock, a network or a goroutine. The world lists the possible next steps. Search explores all
// of them to a depth; Walk draws them from a seed. A checker that shares no code with leases
// checks the grants, the acts and the writes.
package model
