package policy

import (
	"cmp"
	"time"
)

// Polls for the endpoint list. One service answers all balancers in turn, and calls that have waited
// too long fail. Watches break at many balancers at once; if all call again within the time that the
// service takes for all of them, each call waits behind others that are to fail. So the backoff
// after a failure grows with the number of balancers, up to the time that is left until a change
// that was missed meanwhile has to be acted on.

const (
	// pollCost is the time that the service gets for each balancer's call: a list takes it up to 75 ms if
	// it is short of time, and half of the balancers may have been cut off at once.
	pollCost = 40 * time.Millisecond
	// notificationDeadline is the time after which a change counts as notified, arrived or not.
	notificationDeadline = 6 * time.Second
	// movedNotificationDeadline is the same from a new configuration on that moves the service.
	movedNotificationDeadline = 4 * time.Second
	// pollDuration is the time that a call and a tick take.
	pollDuration = 1100 * time.Millisecond
	// unresponsiveAfter is how long it takes to notice that a watch or a call is unresponsive.
	unresponsiveAfter = 3 * time.Second
	// firstPollWithin bounds the first call after a subscription was broken off: changes that it did not
	// deliver count as notified 2 s later, unless a call was rejected by then.
	firstPollWithin = 1700 * time.Millisecond
	// overduePollDelay is the pause, before it is spread, if there is no time left at all.
	overduePollDelay = time.Second
	// earliestPollShare is the earliest call as a share of the time left, if all of that is used.
	earliestPollShare = 0.25
	// maxPollBackoffDoublings bounds the exponential backoff between polls.
	maxPollBackoffDoublings = 2
	// A fleet whose calls the service can answer within staggerThreshold needs no order among them. No
	// watch is opened later than maxStagger after the full list came.
	staggerThreshold, maxStagger = time.Second, 4 * time.Second
)

// ListLoss is how the endpoint list was lost.
type ListLoss struct {
	Unresponsive     bool          // nothing arrived any more: changes may have been missed for silenceNoticeTime
	Reached          bool          // the service was reached: what it had to deliver counts as notified in time
	Moved            bool          // the service has a new address and was not reached there yet
	SinceLastMessage time.Duration // since the last list or sign of life
}

// listPoll is the state of the polls for the endpoint list.
type listPoll struct {
	at         time.Duration // when the next poll is due; 0: none is
	failures   int           // since the last success
	staleSince time.Duration // since when changes of the list may have been missed
}

func (p *listPoll) due(now time.Duration) bool { return p.at > 0 && now >= p.at }

// stop takes that the list is watched: no poll is needed until that is lost.
func (p *listPoll) stop() { p.at, p.failures = 0, 0 }

// pollList subscribes to the list. Without an answer it polls again before a change would count as
// notified.
func (b *Balancer) pollList(now time.Duration) {
	b.poll.at = now + cmp.Or(b.cfg.PollDeadline*3/4, maxBackoff)
	b.host.WatchList()
}

// ListLost takes that a call for the list has failed or that the subscription has ended.
func (b *Balancer) ListLost(now time.Duration, loss ListLoss) {
	staleSince := now
	switch {
	case loss.Unresponsive:
		staleSince -= unresponsiveAfter
	case loss.Moved:
		staleSince -= notificationDeadline - movedNotificationDeadline
	case loss.Reached:
		staleSince -= min(loss.SinceLastMessage, maxStagger+pollDuration)
	}
	firstFailure := b.poll.failures == 0
	within := NoLimit
	if firstFailure && !loss.Unresponsive {
		within = firstPollWithin
	}
	if firstFailure || !loss.Reached {
		b.poll.staleSince = staleSince
	}
	b.scheduleNextPoll(now, within)
}

// scheduleNextPoll sets the next poll after one that failed: at a random time, early enough for a
// server that drains, and within a given pause.
func (b *Balancer) scheduleNextPoll(now, within time.Duration) {
	pause := max(initialBackoff, pollCost*time.Duration(b.cfg.Balancers))
	pause <<= min(b.poll.failures, maxPollBackoffDoublings)
	earliest, latest := pause/2, pause*3/2
	timeLeft := b.poll.staleSince + notificationDeadline + b.cfg.DrainGrace - pollDuration - now
	if bound := min(within, max(timeLeft, overduePollDelay)); latest > bound {
		latest = bound
		earliest = time.Duration(earliestPollShare * float64(latest))
	}
	b.poll.at = now + earliest + time.Duration(b.rng.Float64()*float64(latest-earliest))
	b.poll.failures++
}

// SubscribeDelay is how long after the full list a balancer may open its watch, so that many
// balancers do not open theirs together.
func SubscribeDelay(balancers int) time.Duration {
	return max(0, min(pollCost*time.Duration(balancers)-staggerThreshold, maxStagger))
}
