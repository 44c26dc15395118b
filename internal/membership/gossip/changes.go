package gossip

import "context"

// notifyChanged signals that the view has changed. It never blocks.
func (n *Node) notifyChanged() { signal(n.changedSignal) }

// signal sends a signal without blocking, to a channel with a buffer of one. It does nothing if one is pending.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// deliverChanges calls Options.OnChange after changes of the view, until ctx ends.
func (n *Node) deliverChanges(ctx context.Context) {
	for {
		select {
		case <-n.changedSignal:
			if n.options.OnChange != nil {
				n.options.OnChange()
			}
		case <-ctx.Done():
			return
		}
	}
}
