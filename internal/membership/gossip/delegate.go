package gossip

import (
	"barleywick/internal/membership"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// delegate is what memberlist calls. It holds memberlist's locks meanwhile, so nothing
// here calls back.
type delegate struct{ n *Node }

func (d *delegate) NodeMeta(int) []byte {
	text, err := d.n.Self().Encode()
	if err != nil {
		return nil // it was checked before
	}
	return text
}

// NotifyAlive refuses what is no member of ours.
func (d *delegate) NotifyAlive(peer *memberlist.Node) error {
	i, err := membership.DecodeInfo(peer.Meta)
	if err == nil && i.Key() != peer.Name {
		err = fmt.Errorf("it is named %.80q and says %.80q", peer.Name, i.Key())
	}
	if err != nil {
		d.n.malformed.Add(1)
	}
	return err
}

func (d *delegate) NotifyJoin(peer *memberlist.Node) {
	n := d.n
	i, err := membership.DecodeInfo(peer.Meta)
	if err != nil {
		return // NotifyAlive has refused it
	}
	n.mu.Lock()
	news := n.view.MarkPresent(i, n.now())
	if _, ok := n.view.Get(i.Key()); ok {
		n.addrs[i.Key()] = net.JoinHostPort(peer.Addr.String(), fmt.Sprint(peer.Port))
	}
	own := n.self
	s, _ := n.view.Get(own.Key())
	for key := range n.addrs { // as bounded as the view
		if _, ok := n.view.Get(key); !ok {
			delete(n.addrs, key)
		}
	}
	n.mu.Unlock()
	if s.Status == membership.StatusReplaced {
		select {
		case n.replaced <- struct{}{}:
		default:
		}
	}
	if n.processes != nil && i.MachineID == own.MachineID && i.MachineID != "" && i.Key() != own.Key() {
		n.processes.add(i)
	}
	if news {
		n.notifyChanged()
	}
}

func (d *delegate) NotifyUpdate(peer *memberlist.Node) { d.NotifyJoin(peer) }

func (d *delegate) NotifyLeave(peer *memberlist.Node) {
	n := d.n
	n.mu.Lock()
	news := n.view.MarkUnreachable(peer.Name, false, n.now())
	n.mu.Unlock()
	if news {
		n.unreachableSeen.Add(1)
		n.log.Info("members: lost", "member", peer.Name)
		n.notifyChanged()
	}
}

func (d *delegate) NotifyPingComplete(other *memberlist.Node, _ time.Duration, _ []byte) {
	d.n.mu.Lock()
	defer d.n.mu.Unlock()
	d.n.view.MarkResponded(other.Name, d.n.now())
}

func (d *delegate) AckPayload() []byte { return nil }

// NotifyMsg takes a note in; what is news here is passed on.
func (d *delegate) NotifyMsg(text []byte) {
	n := d.n
	var what message
	if len(text) > maxMessageBytes || json.Unmarshal(text, &what) != nil || what.Key == "" {
		n.malformed.Add(1)
		return
	}
	n.notes.Add(1)
	now := n.now()
	news := false
	n.mu.Lock()
	switch what.Kind {
	case messageDigest:
		n.view.RecordDigest(what.Key, what.Digest, now)
	case messageLeave:
		news = n.view.MarkUnreachable(what.Key, true, now)
	case messageEnded:
		news = n.view.MarkEnded(what.Key, what.Witness, now)
	case messageSuspect:
		news = n.view.MarkSuspected(what.Key, now, now+n.suspicionTimeout())
	case messageUnresponsive:
		if s, ok := n.view.Get(what.Key); ok && s.Status.CountsAsPresent() && n.unresponsive[what.Endpoint] == 0 && len(n.unresponsive) < maxUnresponsive {
			n.unresponsive[what.Endpoint], news = now+unresponsiveLifetime, true
		}
	}
	n.mu.Unlock()
	if news {
		n.broadcast(what)
		n.notifyChanged()
	}
}

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.n.broadcasts.GetBroadcasts(overhead, limit)
}

// endRecord is one end that an exchange of views tells of.
type endRecord struct {
	Key     string `json:"k"`
	By      string `json:"b,omitempty"`
	Goodbye bool   `json:"g,omitempty"`
}

// LocalState tells of ends, which notes may have been lost of.
func (d *delegate) LocalState(bool) []byte {
	var ends []endRecord
	for _, s := range d.n.Members() {
		if (s.Status == membership.StatusLeft || s.Status == membership.StatusEnded) && len(ends) < maxEndRecords {
			ends = append(ends, endRecord{s.Key(), s.By, s.Status == membership.StatusLeft})
		}
	}
	text, err := json.Marshal(ends)
	if err != nil {
		return nil
	}
	return text
}

// MergeRemoteState takes another's ends in.
func (d *delegate) MergeRemoteState(text []byte, _ bool) {
	n := d.n
	var ends []endRecord
	if len(text) == 0 || len(text) > maxEndRecords*maxMessageBytes || json.Unmarshal(text, &ends) != nil || len(ends) > maxEndRecords {
		return
	}
	n.mu.Lock()
	news := false
	for _, e := range ends {
		if e.Goodbye {
			news = n.view.MarkUnreachable(e.Key, true, n.now()) || news
		} else {
			news = n.view.MarkEnded(e.Key, e.By, n.now()) || news
		}
	}
	n.mu.Unlock()
	if news {
		n.notifyChanged()
	}
}
