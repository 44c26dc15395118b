// Package membershiptest runs a fleet of members in one process over a simulated network,
// injects packet loss, crashes and partitions, and measures how long the members take to
// detect them and to agree again.
package membershiptest
