package policy

// maxUnreadBehindRequest is how many bytes may follow an unanswered request on its connection. Behind more of
// them the client's end may be out of sight: it arrives only after all bytes that the client has written, and
// these fit into the receive buffer only up to a limit.
const maxUnreadBehindRequest = 32 << 10

// ClientFacts are the facts that determine whether a client counts as gone.
type ClientFacts struct {
	Closed bool // the client's end has arrived
	Unread int  // bytes that have arrived and were not read
}

// Gone reports whether the client has closed its connection, or may have closed it without this being known. By
// the protocol a client sends one request at a time.
func (f ClientFacts) Gone() bool { return f.Closed || f.Unread > maxUnreadBehindRequest }
