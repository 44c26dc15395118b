package policy

import (
	"cmp"
	"time"
)

// Asking for the server list. One service answers all balancers in turn, and calls that have waited too long
// fail. Watches break for many at once; if all call again within the time that the service takes for all, each
// call waits behind those that are to fail. So the pause after a failure grows with the number of balancers, up
// to what is left until a change that was missed meanwhile has to be acted on.

const (
	// pollCost is what the list service is given for each balancer's call: a list takes it up to 75 ms
	// when it is short of time, and the half of the balancers may have been cut off at once.
	pollCost = 40 * time.Millisecond
	// notificationDeadline is when a change counts as told at the latest, whether or not it arrived.
	notificationDeadline = 6 * time.Second
	// movedNotificationDeadline is the same from a new configuration on that moves the service.
	movedNotificationDeadline = 4 * time.Second
	// pollDuration is for a call that is answered, and a tick.
	pollDuration = 1100 * time.Millisecond
	// silenceNoticeTime is how long it takes to notice that a watch or a call is silent.
	silenceNoticeTime = 3 * time.Second
	// firstPollWithin is by when the first call comes after a subscription has ended in plain sight: what it
	// ended instead of telling counts as told 2 s later, unless a call was turned away by then.
	firstPollWithin = 1700 * time.Millisecond
	// overduePollDelay is the pause, before it is spread, once there is no time left at all.
	overduePollDelay = time.Second
	// earliestPollShare is the earliest call in parts of the time left, where all of that is used.
	earliestPollShare = 0.25
)

// ListLoss is how the list was lost.
type ListLoss struct {
	Unresponsive     bool          // nothing was heard any more: changes may have been missed since silentFor
	Reached          bool          // the service was there: what it had to tell counts as told in time
	Moved            bool          // the service has a new address, and was not heard there yet
	SinceLastMessage time.Duration // since the last word, a list or a sign of life
}

// ListLost takes that a call for the list has failed, or that the subscription has ended.
func (b *Balancer) ListLost(now time.Duration, loss ListLoss) {
	since := now
	switch {
	case loss.Unresponsive:
		since -= silenceNoticeTime
	case loss.Moved:
		since -= notificationDeadline - movedNotificationDeadline
	case loss.Reached:
		since -= min(loss.SinceLastMessage, maxStagger+pollDuration)
	}
	latest := NoLimit
	if b.pollFailures == 0 && !loss.Unresponsive {
		latest = firstPollWithin
	}
	if b.pollFailures == 0 || !loss.Reached {
		b.staleSince = since
	}
	b.scheduleNextPoll(now, latest)
}

// pollList subscribes to the list. Without any word it asks again before its silence counts as being told.
func (b *Balancer) pollList(now time.Duration) {
	b.pollAt = now + cmp.Or(b.cfg.PollDeadline*3/4, maxBackoff)
	b.host.WatchList()
}

// scheduleNextPoll sets the next call after one that failed: spread, as one of many, in time for what drains, and
// within a pause at most.
func (b *Balancer) scheduleNextPoll(now, within time.Duration) {
	pause := max(initialBackoff, pollCost*time.Duration(b.cfg.Balancers)) << min(b.pollFailures, 2)
	earliest, latest := pause/2, pause*3/2
	left := b.staleSince + notificationDeadline + b.cfg.DrainGrace - pollDuration - now
	if most := min(within, max(left, overduePollDelay)); latest > most {
		latest = most
		earliest = time.Duration(earliestPollShare * float64(latest))
	}
	b.pollAt = now + earliest + time.Duration(b.rng.Float64()*float64(latest-earliest))
	b.pollFailures++
}

// A fleet whose calls the list service can answer within staggerThreshold needs no order among them; no watch
// is opened later than maxStagger after the whole list came.
const staggerThreshold, maxStagger = time.Second, 4 * time.Second

// SubscribeDelay is how long after the whole list its subscription may be made, where many balancers ask at once.
func SubscribeDelay(balancers int) time.Duration {
	return max(0, min(pollCost*time.Duration(balancers)-staggerThreshold, maxStagger))
}
