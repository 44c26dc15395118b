package gossip

import (
	"strings"
	"time"
)

// memberlistLog takes memberlist's own log: at debug, but for what this process itself found
// out. Its interface tells of members that are lost, not of those suspected.
type memberlistLog struct{ n *Node }

const suspectPrefix = "[INFO] memberlist: Suspect "

func (l *memberlistLog) Write(text []byte) (int, error) {
	line := strings.TrimSpace(string(text))
	if rest, ok := strings.CutPrefix(line, suspectPrefix); ok {
		key, _, _ := strings.Cut(rest, " ")
		l.n.reportSuspicion(key)
	}
	l.n.log.Debug(line)
	return len(text), nil
}

// reportSuspicion notes that a member has not answered this process.
func (n *Node) reportSuspicion(key string) {
	n.suspicions.Add(1)
	now := n.now()
	n.mu.Lock()
	// One that was stopped suspects whoever answered it meanwhile.
	own := n.resumedAt != 0 && now-n.resumedAt < 2*n.options.Config.ProbeInterval()
	news := !own && n.view.MarkSuspected(key, now, now+n.suspicionTimeout())
	n.mu.Unlock()
	if news {
		n.log.Info("members: suspected", "member", key)
		n.broadcast(message{Kind: messageSuspect, Key: key, Witness: n.self.Key()})
		n.notifyChanged()
	}
}

// suspicionTimeout is how long a suspicionTimeout lasts at most. The lock is held.
func (n *Node) suspicionTimeout() time.Duration {
	scale := 1.0
	for size := n.view.Partition().Present; size >= 10; size /= 10 {
		scale++
	}
	return time.Duration(suspicionMult * suspicionMaxTimeoutMult * scale * float64(n.options.Config.ProbeInterval()))
}
