// Package membership is the fleet as one process sees it without asking the registry: what
// a member announces about itself, the view of all members as a state machine, and the
// served form of a view. Its only I/O is a call for another member's view; package gossip
// does the network's part. A view is quick and may be wrong; the registry is certain and
// may be out of reach. docs/MEMBERSHIP.md says which of them counts for what.
package membership
