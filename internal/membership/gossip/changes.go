package gossip

import "context"

func (n *Node) notifyChanged() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// deliverChanges calls Changed, at most once at a time.
func (n *Node) deliverChanges(ctx context.Context) {
	for {
		select {
		case <-n.changed:
			if n.options.OnChange != nil {
				n.options.OnChange()
			}
		case <-ctx.Done():
			return
		}
	}
}
