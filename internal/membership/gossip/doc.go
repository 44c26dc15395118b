// Package gossip makes a process a member of the fleet. It runs SWIM with Lifeguard's
// extensions through hashicorp/memberlist. Beside memberlist's own messages, members tell
// each other of processes that have left or were seen to end, of suspicions, of booking
// servers that do not answer, and of digests of their views.
package gossip
