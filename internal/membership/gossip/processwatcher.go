package gossip

import (
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"barleywick/internal/membership"
	"barleywick/internal/rollout"
)

const (
	// maxWatchedProcesses bounds the processes of one machine that are watched.
	maxWatchedProcesses = 1024
	// processPollInterval is the time between two polls of all watched processes.
	processPollInterval = 20 * time.Millisecond
)

// processWatcher watches processes of this machine and reports when one has ended. Unlike
// unanswered probes, that proves the end. The start time distinguishes a process from a later
// one with the same PID.
type processWatcher struct {
	onEnd func(key string)

	mu           sync.Mutex
	pidfds       map[string]int // by the member's key
	alreadyEnded []string       // keys of members whose process had ended before it was watched
	closed       bool
	tasks        sync.WaitGroup
	stop         chan struct{}
}

func newProcessWatcher(onEnd func(key string)) *processWatcher {
	w := &processWatcher{onEnd: onEnd, pidfds: make(map[string]int), stop: make(chan struct{})}
	w.tasks.Go(w.run)
	return w
}

// add starts to watch the process of a member on this machine.
func (w *processWatcher) add(info membership.Info) {
	if info.PID == 0 || info.ProcessStart == 0 || info.PID == os.Getpid() {
		return
	}
	if rollout.ProcessStartTicks(os.Getpid()) == 0 {
		return // processes are not visible here, so all would be taken for ended
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, watched := w.pidfds[info.Key()]; watched || w.closed || len(w.pidfds)+len(w.alreadyEnded) >= maxWatchedProcesses {
		return
	}
	// The pidfd is opened before the start time is read. It always refers to the same process, so if
	// the start time that is read afterwards matches, it refers to the member's process.
	pidfd, openErr := unix.PidfdOpen(info.PID, 0)
	if rollout.ProcessStartTicks(info.PID) != info.ProcessStart {
		if openErr == nil {
			unix.Close(pidfd)
		}
		w.alreadyEnded = append(w.alreadyEnded, info.Key()) // reported by the next poll, as the caller may hold locks
		return
	}
	if openErr == nil {
		w.pidfds[info.Key()] = pidfd
	}
}

func (w *processWatcher) run() {
	ticker := time.NewTicker(processPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
		for _, key := range w.poll() {
			w.onEnd(key)
		}
	}
}

// poll returns the keys of the members whose process has ended since the last poll. It makes one
// system call for all of them.
func (w *processWatcher) poll() (ended []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ended, w.alreadyEnded = w.alreadyEnded, nil
	if len(w.pidfds) == 0 {
		return ended
	}
	keys, polled := make([]string, 0, len(w.pidfds)), make([]unix.PollFd, 0, len(w.pidfds))
	for key, pidfd := range w.pidfds {
		keys, polled = append(keys, key), append(polled, unix.PollFd{Fd: int32(pidfd), Events: unix.POLLIN})
	}
	if ready, err := unix.Poll(polled, 0); err != nil || ready == 0 {
		return ended
	}
	for i, p := range polled {
		if p.Revents&unix.POLLIN != 0 {
			ended = append(ended, keys[i])
			unix.Close(int(p.Fd))
			delete(w.pidfds, keys[i])
		}
	}
	return ended
}

// close stops the watcher. Further calls have no effect.
func (w *processWatcher) close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	for key, pidfd := range w.pidfds {
		unix.Close(pidfd)
		delete(w.pidfds, key)
	}
	w.mu.Unlock()
	close(w.stop)
	w.tasks.Wait()
}

// processEnded records that the process of a member on this machine has ended, and broadcasts
// that.
func (n *Node) processEnded(key string) {
	now := n.now()
	n.mu.Lock()
	changed := n.view.MarkEnded(key, n.self.Key(), now)
	n.mu.Unlock()
	if changed {
		n.log.Info("members: local process ended", "member", key)
		n.broadcast(message{Kind: messageEnded, Key: key, Observer: n.Self().Key()})
		n.notifyChanged()
	}
}
