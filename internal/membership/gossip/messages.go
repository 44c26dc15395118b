package gossip

import (
	"encoding/json"

	"github.com/hashicorp/memberlist"
)

// maxMessageBytes bounds a message: several fit into one datagram.
const maxMessageBytes = 400

// messageKind is the kind of a message. Its values are sent to other members.
type messageKind string

const (
	messageLeave        messageKind = "bye"     // the member Key is leaving
	messageEnded        messageKind = "gone"    // Observer detected that the process of the member Key has ended
	messageSuspect      messageKind = "suspect" // the member Key did not answer Observer
	messageDigest       messageKind = "digest"  // Digest is that of the view of the member Key
	messageUnresponsive messageKind = "host"    // the booking server Endpoint does not answer the member Key
)

// message is a message between members, besides memberlist's own messages.
type message struct {
	Kind     messageKind `json:"t"`
	Key      string      `json:"k"`
	Observer string      `json:"b,omitempty"`
	Digest   uint64      `json:"d,omitempty"`
	Endpoint string      `json:"h,omitempty"`
}

// send sends a message to some members, once.
func (n *Node) send(keys []string, m message) {
	text, err := json.Marshal(m)
	if err != nil {
		n.log.Warn("members: message not encoded", "kind", m.Kind, "err", err)
		return
	}
	for _, target := range n.targets(keys) {
		if err := n.list.Load().SendToAddress(target, text); err != nil {
			n.log.Debug("members: message not sent", "to", target.Name, "err", err)
		}
	}
}

// targets returns the addresses of members, without those whose address is unknown.
func (n *Node) targets(keys []string) (targets []memberlist.Address) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, key := range keys {
		if address := n.addrs[key]; address != "" {
			targets = append(targets, memberlist.Address{Addr: address, Name: key})
		}
	}
	return targets
}

// broadcast queues a message that gossip spreads to all members.
func (n *Node) broadcast(m message) {
	text, err := json.Marshal(m)
	if err != nil || len(text) > maxMessageBytes {
		n.log.Warn("members: message not sendable", "kind", m.Kind, "bytes", len(text), "err", err)
		return
	}
	n.broadcasts.QueueBroadcast(queuedBroadcast{string(m.Kind) + m.Key + m.Endpoint, text})
}

// queuedBroadcast is a message in memberlist's queue. A later one of the same name replaces
// it there.
type queuedBroadcast struct {
	name string
	text []byte
}

func (q queuedBroadcast) Invalidates(b memberlist.Broadcast) bool {
	other, ok := b.(queuedBroadcast)
	return ok && other.name == q.name
}

func (q queuedBroadcast) Name() string    { return q.name }
func (q queuedBroadcast) Message() []byte { return q.text }
func (q queuedBroadcast) Finished()       {}
