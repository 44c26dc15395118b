package gossip

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"

	"barleywick/internal/membership"
)

// delegate receives memberlist's callbacks. memberlist holds locks during a callback, so no method
// may call memberlist.
type delegate struct{ n *Node }

// NodeMeta returns the metadata that this process announces.
func (d *delegate) NodeMeta(int) []byte {
	text, err := d.n.Self().Encode()
	if err != nil {
		d.n.log.Error("members: metadata not encoded", "err", err) // Start and Update have validated it
		return nil
	}
	return text
}

// NotifyAlive rejects a node whose metadata is invalid, or is that of another name.
func (d *delegate) NotifyAlive(peer *memberlist.Node) error {
	info, err := membership.DecodeInfo(peer.Meta)
	if err == nil && info.Key() != peer.Name {
		err = fmt.Errorf("node is named %.80q, but its metadata is that of %.80q", peer.Name, info.Key())
	}
	if err != nil {
		d.n.counters.malformed.Add(1)
	}
	return err
}

// NotifyJoin records a member that is present.
func (d *delegate) NotifyJoin(peer *memberlist.Node) {
	info, err := membership.DecodeInfo(peer.Meta)
	if err != nil {
		return // NotifyAlive has rejected it
	}
	d.n.memberPresent(info, net.JoinHostPort(peer.Addr.String(), strconv.Itoa(int(peer.Port))))
}

// NotifyUpdate records a member's new metadata.
func (d *delegate) NotifyUpdate(peer *memberlist.Node) { d.NotifyJoin(peer) }

// memberPresent records that a member is present, and where it listens.
func (n *Node) memberPresent(info membership.Info, address string) {
	n.mu.Lock()
	changed := n.view.MarkPresent(info, n.now())
	if _, ok := n.view.Get(info.Key()); ok {
		n.addrs[info.Key()] = address
	}
	for key := range n.addrs { // bounds the addresses as the view is bounded
		if _, ok := n.view.Get(key); !ok {
			delete(n.addrs, key)
		}
	}
	own := n.self
	self, _ := n.view.Get(own.Key())
	n.mu.Unlock()
	if self.Status == membership.StatusReplaced {
		signal(n.replacedSignal)
	}
	if n.processes != nil && info.MachineID == own.MachineID && info.MachineID != "" && info.Key() != own.Key() {
		n.processes.add(info)
	}
	if changed {
		n.notifyChanged()
	}
}

// NotifyLeave records a member that no longer answers. memberlist also calls it for members
// that leave; their leave message has arrived before.
func (d *delegate) NotifyLeave(peer *memberlist.Node) {
	n := d.n
	n.mu.Lock()
	changed := n.view.MarkUnreachable(peer.Name, n.now())
	n.mu.Unlock()
	if changed {
		n.counters.unreachable.Add(1)
		n.log.Info("members: member unreachable", "member", peer.Name)
		n.notifyChanged()
	}
}

// NotifyPingComplete records a member's answer to a probe of this process.
func (d *delegate) NotifyPingComplete(peer *memberlist.Node, _ time.Duration, _ []byte) {
	d.n.mu.Lock()
	defer d.n.mu.Unlock()
	d.n.view.MarkResponded(peer.Name, d.n.now())
}

// AckPayload returns no additional data for answers to probes.
func (d *delegate) AckPayload() []byte { return nil }

// NotifyMsg receives a message. It broadcasts a message that changes the view.
func (d *delegate) NotifyMsg(text []byte) {
	n := d.n
	var m message
	if len(text) > maxMessageBytes || json.Unmarshal(text, &m) != nil || m.Key == "" {
		n.counters.malformed.Add(1)
		return
	}
	if n.apply(m) {
		n.broadcast(m)
		n.notifyChanged()
	}
}

// apply applies a message, and reports whether that changes this node's state. A digest does
// not count as a change, so it is never broadcast.
func (n *Node) apply(m message) (changed bool) {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	switch m.Kind {
	case messageDigest:
		n.view.RecordDigest(m.Key, m.Digest, now)
	case messageLeave:
		return n.view.MarkLeft(m.Key, now)
	case messageEnded:
		return n.view.MarkEnded(m.Key, m.Observer, now)
	case messageSuspect:
		return n.view.MarkSuspected(m.Key, now, now+n.suspicionTimeout())
	case messageUnresponsive:
		reporter, ok := n.view.Get(m.Key)
		return ok && reporter.Status.CountsAsPresent() && n.recordUnresponsive(m.Endpoint, now)
	}
	return false
}

// GetBroadcasts returns the messages that go out with the next packet.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.n.broadcasts.GetBroadcasts(overhead, limit)
}

// maxEndRecords bounds the end records in one exchange of views.
const maxEndRecords = 64

// endRecord is a member that has left or ended, in an exchange of views.
type endRecord struct {
	Key      string `json:"k"`
	Observer string `json:"b,omitempty"`
	Left     bool   `json:"g,omitempty"` // it sent a leave message; otherwise Observer detected the end of its process
}

// LocalState returns the end records for an exchange of views. The other member may have
// missed the messages.
func (d *delegate) LocalState(bool) []byte {
	var records []endRecord
	for _, member := range d.n.Members() {
		if (member.Status == membership.StatusLeft || member.Status == membership.StatusEnded) && len(records) < maxEndRecords {
			records = append(records, endRecord{member.Key(), member.Evidence, member.Status == membership.StatusLeft})
		}
	}
	text, err := json.Marshal(records)
	if err != nil {
		d.n.log.Error("members: state not encoded", "err", err)
		return nil
	}
	return text
}

// MergeRemoteState applies another member's end records.
func (d *delegate) MergeRemoteState(text []byte, _ bool) {
	n := d.n
	var records []endRecord
	if len(text) == 0 || len(text) > maxEndRecords*maxMessageBytes || json.Unmarshal(text, &records) != nil || len(records) > maxEndRecords {
		return
	}
	changed := false
	n.mu.Lock()
	for _, record := range records {
		if record.Left {
			changed = n.view.MarkLeft(record.Key, n.now()) || changed
		} else {
			changed = n.view.MarkEnded(record.Key, record.Observer, n.now()) || changed
		}
	}
	n.mu.Unlock()
	if changed {
		n.notifyChanged()
	}
}
