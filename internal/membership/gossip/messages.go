package gossip

import (
	"encoding/json"

	"github.com/hashicorp/memberlist"
)

// message is what members tell each other beside SWIM's own messages.
type message struct {
	Kind     string `json:"t"`
	Key      string `json:"k"`
	Witness  string `json:"b,omitempty"`
	Digest   uint64 `json:"d,omitempty"`
	Endpoint string `json:"h,omitempty"`
}

const (
	messageLeave        = "bye"     // Key ends by its own will
	messageEnded        = "gone"    // Key's process has ended, as By saw
	messageSuspect      = "suspect" // Key does not answer By
	messageDigest       = "digest"  // what Key sees
	messageUnresponsive = "host"    // the booking server Host does not answer Key
)

// send sends a note to some members, once.
func (n *Node) send(to []string, what message) {
	text, err := json.Marshal(what)
	if err != nil {
		return
	}
	n.mu.Lock()
	var addrs []memberlist.Address
	for _, key := range to {
		if a := n.addrs[key]; a != "" {
			addrs = append(addrs, memberlist.Address{Addr: a, Name: key})
		}
	}
	n.mu.Unlock()
	for _, a := range addrs {
		if err := n.list.Load().SendToAddress(a, text); err != nil {
			n.log.Debug("members: not told", "to", a.Name, "err", err)
		}
	}
}

// broadcast has a note go to all members.
func (n *Node) broadcast(what message) {
	text, err := json.Marshal(what)
	if err != nil || len(text) > maxMessageBytes {
		n.log.Warn("members: a note that cannot be sent", "kind", what.Kind, "bytes", len(text), "err", err)
		return
	}
	n.broadcasts.QueueBroadcast(queuedBroadcast{what.Kind + what.Key + what.Endpoint, text})
}

// queuedBroadcast is a note on its way; a later one of the same name takes its place.
type queuedBroadcast struct {
	name string
	text []byte
}

func (s queuedBroadcast) Invalidates(b memberlist.Broadcast) bool {
	o, ok := b.(queuedBroadcast)
	return ok && o.name == s.name
}

func (s queuedBroadcast) Name() string { return s.name }

func (s queuedBroadcast) Message() []byte { return s.text }

func (s queuedBroadcast) Finished() {}
