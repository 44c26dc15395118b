package gossip

import (
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"barleywick/internal/membership"
	"barleywick/internal/rollout"
)

// processWatcher watches processes of this machine and tells when one has ended: that is evidence,
// which silence is not. A process is told from a later one of its id by its start.
type processWatcher struct {
	onEnd func(key string)

	mu           sync.Mutex
	pidfds       map[string]int // descriptors of processes, by key
	alreadyEnded []string       // that had ended before they were watched
	closed       bool
	tasks        sync.WaitGroup
	stop         chan struct{}
}

const (
	// maxWatchedProcesses bounds the processes watched: those of one machine.
	maxWatchedProcesses = 1024
	// processPollInterval is between two looks at all of them.
	processPollInterval = 20 * time.Millisecond
)

func newProcessWatcher(tell func(key string)) *processWatcher {
	e := &processWatcher{onEnd: tell, pidfds: make(map[string]int), stop: make(chan struct{})}
	e.tasks.Go(e.run)
	return e
}

// add begins to watch the process of a member on this machine.
func (e *processWatcher) add(i membership.Info) {
	if i.PID == 0 || i.ProcessStart == 0 || i.PID == os.Getpid() || rollout.ProcessStartTicks(os.Getpid()) == 0 {
		return // where processes cannot be seen at all, none is seen to end
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.pidfds[i.Key()]; ok || e.closed || len(e.pidfds)+len(e.alreadyEnded) >= maxWatchedProcesses {
		return
	}
	// The descriptor is taken first: it stays the same process's, so the look after it is
	// at that one or at none.
	fd, err := unix.PidfdOpen(i.PID, 0)
	if err != nil {
		fd = -1 // it has ended, or descriptors are used up: the look tells
	}
	if rollout.ProcessStartTicks(i.PID) != i.ProcessStart {
		if fd >= 0 {
			unix.Close(fd)
		}
		e.alreadyEnded = append(e.alreadyEnded, i.Key()) // told by the next look, not from within the caller's locks
		return
	}
	if fd >= 0 {
		e.pidfds[i.Key()] = fd
	}
}

// run looks at all of them again and again: one call to the kernel for all.
func (e *processWatcher) run() {
	tick := time.NewTicker(processPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-tick.C:
		}
		for _, key := range e.poll() {
			e.onEnd(key)
		}
	}
}

// poll returns those that have ended since the last poll.
func (e *processWatcher) poll() (ended []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ended, e.alreadyEnded = e.alreadyEnded, nil
	if len(e.pidfds) == 0 {
		return ended
	}
	keys, polled := make([]string, 0, len(e.pidfds)), make([]unix.PollFd, 0, len(e.pidfds))
	for key, fd := range e.pidfds {
		keys, polled = append(keys, key), append(polled, unix.PollFd{Fd: int32(fd), Events: unix.POLLIN})
	}
	if some, err := unix.Poll(polled, 0); err != nil || some == 0 {
		return ended
	}
	for i, p := range polled {
		if p.Revents&unix.POLLIN != 0 {
			ended = append(ended, keys[i])
			unix.Close(int(p.Fd))
			delete(e.pidfds, keys[i])
		}
	}
	return ended
}

// watched is how many are watched.
func (e *processWatcher) watched() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.pidfds)
}

// close ends the watch.
func (e *processWatcher) close() {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return
	}
	e.closed = true
	for key, fd := range e.pidfds {
		unix.Close(fd)
		delete(e.pidfds, key)
	}
	e.mu.Unlock()
	close(e.stop)
	e.tasks.Wait()
}

// processEnded is told that a process of this machine has processEnded.
func (n *Node) processEnded(key string) {
	now := n.now()
	n.mu.Lock()
	news := n.view.MarkEnded(key, n.self.Key(), now)
	n.mu.Unlock()
	if news {
		n.log.Info("members: a process of this machine has ended", "member", key)
		n.broadcast(message{Kind: messageEnded, Key: key, Witness: n.self.Key()})
		n.notifyChanged()
	}
}
