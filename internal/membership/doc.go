// Package membership models the fleet as one process sees it without the registry: the metadata that
// a member announces about itself, the view of all members as a state machine, and the form in which
// a view is served. Its only I/O is the call for another member's view; package gossip does the
// networking. A view is updated quickly but may be wrong; the registry is authoritative but may be
// unreachable. docs/MEMBERSHIP.md describes which of them is used for what.
package membership
