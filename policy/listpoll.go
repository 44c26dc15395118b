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
	// overduePollDelay is the maximum delay, before randomization, if the time left has been used up.
	overduePollDelay = time.Second
	// earliestPollShare is the minimum delay as a share of the maximum one, if the time left limits the delay.
	earliestPollShare = 0.25
	// maxPollBackoffDoublings limits the exponential backoff between polls.
	maxPollBackoffDoublings = 2
	// A fleet whose calls the service can handle within staggerThreshold does not stagger them. Watches are
	// opened at most maxStagger after the full list was received.
	staggerThreshold, maxStagger = time.Second, 4 * time.Second
)

// ListLoss describes how the subscription to the endpoint list was lost.
type ListLoss struct {
	Unresponsive     bool          // no data arrived any more: changes may have been missed for unresponsiveAfter
	Reached          bool          // the service was reached: changes that it had to deliver count as notified
	AddrsChanged     bool          // the service has a new address and has not been reached there yet
	SinceLastMessage time.Duration // since the last list or keep-alive
}

// listPoll is the state of the polls for the endpoint list.
type listPoll struct {
	dueAt      time.Duration // time of the next poll; 0: none is due
	failures   int           // since the last success
	staleSince time.Duration // time since which changes of the list may have been missed
}

func (p *listPoll) due(now time.Duration) bool { return p.dueAt > 0 && now >= p.dueAt }

// stop cancels polling while a watch delivers the list.
func (p *listPoll) stop() { p.dueAt, p.failures = 0, 0 }

// pollList subscribes to the list. In case there is no response, it schedules another poll before a change
// counts as notified.
func (b *Balancer) pollList(now time.Duration) {
	b.poll.dueAt = now + cmp.Or(b.cfg.PollDeadline*3/4, maxBackoff)
	b.host.WatchList()
}

// ListLost handles a failed call for the list or the end of the subscription.
func (b *Balancer) ListLost(now time.Duration, loss ListLoss) {
	staleSince := now
	switch {
	case loss.Unresponsive:
		staleSince -= unresponsiveAfter
	case loss.AddrsChanged:
		staleSince -= notificationDeadline - movedNotificationDeadline
	case loss.Reached:
		staleSince -= min(loss.SinceLastMessage, maxStagger+pollDuration)
	}
	firstFailure := b.poll.failures == 0
	maxDelay := NoLimit
	if firstFailure && !loss.Unresponsive {
		maxDelay = maxFirstPollDelay
	}
	if firstFailure || !loss.Reached {
		b.poll.staleSince = staleSince
	}
	b.scheduleNextPoll(now, maxDelay)
}

// scheduleNextPoll schedules the poll after a failed one at a random time within maxDelay, early enough to
// stop sending to a server that began to drain meanwhile.
func (b *Balancer) scheduleNextPoll(now, maxDelay time.Duration) {
	pause := max(initialBackoff, pollCost*time.Duration(b.cfg.Balancers))
	pause <<= min(b.poll.failures, maxPollBackoffDoublings)
	earliest, latest := pause/2, pause*3/2
	timeLeft := b.poll.staleSince + notificationDeadline + b.cfg.DrainGrace - pollDuration - now
	if bound := min(maxDelay, max(timeLeft, overduePollDelay)); latest > bound {
		latest = bound
		earliest = time.Duration(earliestPollShare * float64(latest))
	}
	b.poll.dueAt = now + earliest + time.Duration(b.rng.Float64()*float64(latest-earliest))
	b.poll.failures++
}

// SubscribeDelay returns the maximum delay between the full list and the opening of a balancer's watch, so
// that the balancers of a large fleet do not open their watches simultaneously.
func SubscribeDelay(balancers int) time.Duration {
	return max(0, min(pollCost*time.Duration(balancers)-staggerThreshold, maxStagger))
}
