package gossip

import (
	"strings"
	"time"
)

// memberlistLog receives memberlist's own log lines and writes them at debug level. It also detects
// failed probes in them: memberlist has callbacks for unreachable members, but reports failed probes
// only in its log.
type memberlistLog struct{ n *Node }

// suspectPrefix is the prefix of the log line of a failed probe; the member's key follows.
const suspectPrefix = "[INFO] memberlist: Suspect "

func (l *memberlistLog) Write(text []byte) (int, error) {
	line := strings.TrimSpace(string(text))
	if rest, ok := strings.CutPrefix(line, suspectPrefix); ok {
		key, _, _ := strings.Cut(rest, " ")
		l.n.probeFailed(key)
	}
	l.n.log.Debug(line)
	return len(text), nil
}

// probeFailed records that a member has not answered a probe of this process, and broadcasts
// that.
func (n *Node) probeFailed(key string) {
	n.counters.suspicions.Add(1)
	now := n.now()
	n.mu.Lock()
	changed := !n.recentlyResumed(now) && n.view.MarkSuspected(key, now, now+n.suspicionTimeout())
	n.mu.Unlock()
	if changed {
		n.log.Info("members: member suspected", "member", key)
		n.broadcast(message{Kind: messageSuspect, Key: key, Observer: n.Self().Key()})
		n.notifyChanged()
	}
}

// recentlyResumed reports whether this process was paused until a moment ago. It has then missed
// answers to its probes. The caller holds the lock.
func (n *Node) recentlyResumed(now time.Duration) bool {
	return n.resumedAt != 0 && now-n.resumedAt < 2*n.options.Config.ProbeInterval()
}

// suspicionTimeout returns the longest time that memberlist lets a suspicion last. The caller
// holds the lock.
func (n *Node) suspicionTimeout() time.Duration {
	scale := 1.0
	for size := n.view.Partition().Present; size >= 10; size /= 10 {
		scale++
	}
	return time.Duration(suspicionMult * suspicionMaxTimeoutMult * scale * float64(n.options.Config.ProbeInterval()))
}
