package policy

import (
	"cmp"
	"time"
)

// Polls for the endpoint list. One service handles the calls of all balancers sequentially, and calls that
// wait too long fail. Watches may break at many balancers simultaneously. If all of them called again
// within the time that the service needs for all calls, each call would wait behind others that are going to
// fail. The backoff after a failure therefore grows with the number of balancers, limited by the time until
// the balancer must act on a change that it may have missed.
//
// A watch is preferred: it delivers changes only. But a balancer may get none while the service answers calls for
// the full list. What it may have missed is therefore bounded by the time since the list was last known to be
// complete (listPoll.staleSince), however its watches fail: before the balancer must act on a change of that time, it
// fetches the full list.

const (
	// pollCost is the time budgeted for the service to handle one balancer's call: a list takes up to 75 ms
	// when the service's CPU is overloaded, and half of the balancers may lose their watches together.
	pollCost = 40 * time.Millisecond
	// notificationDeadline is the time after which a change counts as notified, whether it was received or not.
	notificationDeadline = 6 * time.Second
	// movedNotificationDeadline is the same after a configuration change that moves the service.
	movedNotificationDeadline = 4 * time.Second
	// pollDuration is the time allowed for a call and a tick.
	pollDuration = 1100 * time.Millisecond
	// unresponsiveAfter is the time without any data after which a watch or a call is detected as unresponsive.
	unresponsiveAfter = 3 * time.Second
	// maxFirstPollDelay limits the delay of the first call after a subscription ended: changes that it did not
	// deliver count as notified after 2 s, unless a call has been rejected by then.
	maxFirstPollDelay = 1700 * time.Millisecond
	// overduePollDelay is the maximum delay, before randomization, if the time left has been used up and a call for the
	// full list has failed. It doubles with each further one.
	overduePollDelay = time.Second
	// earliestPollShare is the minimum delay as a share of the maximum one, if the time left limits the delay.
	earliestPollShare = 0.25
	// earliestFullListShare is the minimum delay of the next call for the full list as a share of the maximum one.
	earliestFullListShare = 0.6
	// establishedAfter is the time within which a subscription that only sends heartbeats may turn out to be useless.
	establishedAfter = 5 * time.Second
	// maxWatchDelay limits the delay between two subscriptions that fail while the full list arrives.
	maxWatchDelay = 30 * time.Second
	// maxPollBackoffDoublings limits the exponential backoff between polls.
	maxPollBackoffDoublings = 2
	// A fleet whose calls the service can handle within staggerThreshold does not stagger them. Watches are
	// opened at most maxStagger after the full list was received.
	staggerThreshold, maxStagger = time.Second, 4 * time.Second
)

// ListLoss describes a failed call for the endpoint list, or the end of a subscription to it.
type ListLoss struct {
	FullList         bool          // the call was for the full list; otherwise it was a subscription
	Opened           bool          // the subscription had begun
	Established      bool          // the list was complete until the last message of the subscription
	Unproven         bool          // heartbeats alone say so, as they did of the subscription before
	Unresponsive     bool          // no data arrived any more: changes may have been missed for unresponsiveAfter
	Reached          bool          // the service was reached: changes that it had to deliver count as notified
	AddrsChanged     bool          // the service has a new address and has not been reached there yet
	SinceLastMessage time.Duration // since the last list or keep-alive
}

// listCall is a call for the endpoint list.
type listCall int

const (
	callWatch listCall = iota
	callFullList
)

// listPoll is the state of the polls for the endpoint list.
type listPoll struct {
	dueAt time.Duration // time of the next poll; 0: none is due
	next  listCall      // the call of the next poll

	awaitsWatch    bool // a subscription was requested, and nothing has arrived yet
	awaitsFullList bool // the full list was requested, and has not arrived yet

	failures   int           // failed calls since the list was last known to be complete
	failedFull int           // of these, the calls for the full list
	verify     bool          // heartbeats alone do not count until the full list has arrived again
	complete   bool          // the full list has arrived since the last established subscription was lost
	staleSince time.Duration // time since which changes of the list may have been missed
	fullListAt time.Duration // time of the next call for the full list, if the list is complete; 0: not set

	refusedWatches int           // failed subscriptions since the last established one
	watchAt        time.Duration // time of the next subscription, if the list is complete
}

// overdueDelay returns the maximum delay of a poll for which no time is left. It doubles with each failed call for the
// full list.
func (p *listPoll) overdueDelay() time.Duration {
	if p.failedFull == 0 {
		return initialBackoff
	}
	return overduePollDelay << min(p.failedFull-1, maxPollBackoffDoublings)
}

func (p *listPoll) due(now time.Duration) bool { return p.dueAt > 0 && now >= p.dueAt }

// schedule sets the next poll.
func (p *listPoll) schedule(at time.Duration, call listCall) { p.dueAt, p.next = at, call }

// startPolls subscribes to the list for the first time.
func (b *Balancer) startPolls(now time.Duration) {
	b.poll.staleSince = now
	b.pollList(now)
}

// pollList makes the call that is due. In case there is no response, it schedules another one before the balancer must
// act on a change that it may have missed.
func (b *Balancer) pollList(now time.Duration) {
	p := &b.poll
	unanswered := now + cmp.Or(b.cfg.PollDeadline*3/4, maxBackoff)
	if p.next == callFullList {
		if p.awaitsWatch {
			b.watchRefused(now)
		}
		p.awaitsWatch, p.awaitsFullList = false, true
		p.schedule(unanswered, callFullList)
		b.host.FetchList()
		return
	}
	p.awaitsWatch, p.awaitsFullList = true, false
	switch {
	case p.complete:
		p.schedule(p.fullListAt, callFullList)
	case p.failures > 0 && b.fullListDeadline() < unanswered:
		p.schedule(max(now+pollDuration, b.fullListDeadline()), callFullList)
	default:
		p.schedule(unanswered, callWatch)
	}
	b.host.WatchList()
}

// fullListDeadline returns the latest time of a call for the full list after which the balancer can still act in time
// on all changes that it may have missed.
func (b *Balancer) fullListDeadline() time.Duration {
	return b.poll.staleSince + notificationDeadline + b.cfg.DrainGrace - pollDuration
}

// listReceived handles the arrival of a list, of changes, or of the confirmation that a subscription has begun, which is
// an update without changes.
func (b *Balancer) listReceived(now time.Duration, kind ListKind, changes bool) {
	p := &b.poll
	p.awaitsWatch, p.awaitsFullList = false, false
	p.dueAt = 0
	if kind == ListDelta {
		if p.verify && !changes {
			p.schedule(b.nextFullListAt(now), callFullList)
		}
		return
	}
	p.verify = false
	p.complete, p.staleSince, p.fullListAt = true, now, 0
	p.failures, p.failedFull = 0, 0
	if kind != ListFetched {
		return
	}
	if p.watchAt <= now {
		p.watchAt = b.between(now, now+initialBackoff)
	}
	b.scheduleCompletePoll(now)
}

// ListLost handles a failed call for the list or the end of the subscription.
func (b *Balancer) ListLost(now time.Duration, loss ListLoss) {
	p := &b.poll
	p.awaitsWatch, p.awaitsFullList = false, false
	if p.complete && loss.watchFailed() {
		b.watchRefused(now)
		if b.scheduleCompletePoll(now); loss.Opened {
			b.scheduleFullListAfterEnd(now, loss)
		}
		return
	}
	if loss.Established {
		p.refusedWatches, p.failures, p.failedFull = 0, 0, 0
		p.verify, p.fullListAt = loss.Unproven, 0
	}
	if loss.FullList {
		p.failedFull++
	}
	firstFailure := p.failures == 0
	if loss.unreachable() || firstFailure && (loss.Established || loss.AddrsChanged || !p.complete) {
		b.setStale(now, loss)
	}
	p.complete = false
	maxDelay := NoLimit
	if loss.ended() || firstFailure && !loss.Unresponsive {
		maxDelay = maxFirstPollDelay
	}
	b.scheduleNextPoll(now, maxDelay, loss.Unresponsive)
}

// watchFailed reports whether a subscription failed at a service that may answer other calls.
func (l ListLoss) watchFailed() bool {
	return !l.FullList && !l.Established && (l.Reached || l.Unresponsive)
}

// ended reports whether a subscription had begun and was ended. It may have ended instead of delivering a change.
func (l ListLoss) ended() bool { return l.Opened && !l.Unresponsive }

// unreachable reports whether the service answers no calls. One that does not answer a subscription may answer a call
// for the full list.
func (l ListLoss) unreachable() bool { return !l.Reached && (l.FullList || !l.Unresponsive) }

// setStale records since when changes may have been missed.
func (b *Balancer) setStale(now time.Duration, loss ListLoss) {
	staleSince := now
	switch {
	case loss.Unresponsive:
		staleSince -= unresponsiveAfter
	case loss.AddrsChanged:
		staleSince -= notificationDeadline - movedNotificationDeadline
	case loss.Reached:
		staleSince -= min(loss.SinceLastMessage, maxStagger+pollDuration)
	}
	b.poll.staleSince = staleSince
}

// scheduleNextPoll schedules the poll after a failed one at a random time within maxDelay, early enough to
// stop sending to a server that began to drain meanwhile. The last poll for which there is time fetches the full list.
func (b *Balancer) scheduleNextPoll(now, maxDelay time.Duration, unresponsive bool) {
	p := &b.poll
	pause := b.pollPause() << min(p.failures, maxPollBackoffDoublings)
	earliest, latest := pause/2, pause*3/2
	timeLeft := b.fullListDeadline() - now
	if timeLeft < overduePollDelay {
		timeLeft = max(timeLeft, p.overdueDelay())
	}
	if bound := min(maxDelay, timeLeft); latest > bound {
		latest = bound
		earliest = time.Duration(earliestPollShare * float64(latest))
	}
	call := callWatch
	switch { // the next subscription may fail as well, and late
	case p.failures > 0 && latest > timeLeft-establishedAfter, unresponsive && latest > timeLeft-unresponsiveAfter:
		call = callFullList
	}
	p.schedule(b.between(now+earliest, now+latest), call)
	p.failures++
}

// watchRefused handles a failed subscription. The delay before the next one doubles.
func (b *Balancer) watchRefused(now time.Duration) {
	p := &b.poll
	delay := min(b.pollPause()<<min(p.refusedWatches, maxPollBackoffDoublings), maxWatchDelay)
	p.refusedWatches++
	p.watchAt = b.between(now+delay/2, now+delay)
}

// scheduleCompletePoll schedules the next poll while the list is complete: a subscription if there is time to find out
// that it only sends heartbeats, and the full list otherwise.
func (b *Balancer) scheduleCompletePoll(now time.Duration) {
	p := &b.poll
	fullListAt := b.nextFullListAt(now)
	if p.watchAt+establishedAfter <= p.staleSince+notificationDeadline+b.cfg.DrainGrace {
		p.schedule(p.watchAt, callWatch)
		return
	}
	p.schedule(fullListAt, callFullList)
}

// scheduleFullListAfterEnd schedules the call for the full list after the end of a subscription that may have missed a
// change.
func (b *Balancer) scheduleFullListAfterEnd(now time.Duration, loss ListLoss) {
	latest := b.pollPause() * 3 / 2
	if loss.ended() {
		latest = min(latest, maxFirstPollDelay)
	}
	b.poll.schedule(min(b.nextFullListAt(now), b.between(now+latest/3, now+latest)), callFullList)
}

// nextFullListAt returns the time of the next call for the full list while the list is complete.
func (b *Balancer) nextFullListAt(now time.Duration) time.Duration {
	p := &b.poll
	if p.fullListAt == 0 {
		latest := b.fullListDeadline()
		earliest := p.staleSince + time.Duration(earliestFullListShare*float64(latest-p.staleSince))
		p.fullListAt = b.between(earliest, latest)
	}
	return max(now, p.fullListAt)
}

// pollPause returns the mean delay of the first poll after a failed one.
func (b *Balancer) pollPause() time.Duration {
	return max(initialBackoff, pollCost*time.Duration(b.cfg.Balancers))
}

// between returns a random time between two times.
func (b *Balancer) between(earliest, latest time.Duration) time.Duration {
	return earliest + time.Duration(b.rng.Float64()*float64(latest-earliest))
}

// SubscribeDelay returns the maximum delay between the full list and the opening of a balancer's watch, so
// that the balancers of a large fleet do not open their watches simultaneously. It leaves the time to detect that
// the watch is unresponsive and to fetch the full list again within the drain grace.
func SubscribeDelay(balancers int, drainGrace time.Duration) time.Duration {
	timeLeft := notificationDeadline + drainGrace - pollDuration - unresponsiveAfter
	return max(0, min(pollCost*time.Duration(balancers)-staggerThreshold, maxStagger, timeLeft))
}
