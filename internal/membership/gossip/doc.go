// Package gossip makes a process a member of the fleet. It runs SWIM with Lifeguard's
// extensions through hashicorp/memberlist. Besides memberlist's own messages, members send
// each other messages about processes that have left or were observed to end, suspicions,
// unresponsive booking servers, and digests of their views.
package gossip
