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
	// askEach is what the list service is given for each balancer's call: a list takes it up to 75 ms
	// when it is short of time, and the half of the balancers may have been cut off at once.
	askEach = 40 * time.Millisecond
	// toldWithin is when a change counts as told at the latest, whether or not it arrived.
	toldWithin = 6 * time.Second
	// toldMoved is the same from a new configuration on that moves the service.
	toldMoved = 4 * time.Second
	// callTakes is for a call that is answered, and a tick.
	callTakes = 1100 * time.Millisecond
	// silentFor is how long it takes to notice that a watch or a call is silent.
	silentFor = 3 * time.Second
	// askSoon is by when the first call comes after a subscription has ended in plain sight: what it
	// ended instead of telling counts as told 2 s later, unless a call was turned away by then.
	askSoon = 1700 * time.Millisecond
	// lateAsk is the pause, before it is spread, once there is no time left at all.
	lateAsk = time.Second
	// askEarliest is the earliest call in parts of the time left, where all of that is used.
	askEarliest = 0.25
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
		since -= silentFor
	case loss.Moved:
		since -= toldWithin - toldMoved
	case loss.Reached:
		since -= min(loss.SinceLastMessage, staggerMost+callTakes)
	}
	latest := NoLimit
	if b.askFails == 0 && !loss.Unresponsive {
		latest = askSoon
	}
	if b.askFails == 0 || !loss.Reached {
		b.lostAt = since
	}
	b.askAgain(now, latest)
}

// ask subscribes to the list. Without any word it asks again before its silence counts as being told.
func (b *Balancer) ask(now time.Duration) {
	b.askAt = now + cmp.Or(b.cfg.PollDeadline*3/4, lastPause)
	b.host.WatchList()
}

// askAgain sets the next call after one that failed: spread, as one of many, in time for what drains, and
// within a pause at most.
func (b *Balancer) askAgain(now, within time.Duration) {
	pause := max(firstPause, askEach*time.Duration(b.cfg.Balancers)) << min(b.askFails, 2)
	earliest, latest := pause/2, pause*3/2
	left := b.lostAt + toldWithin + b.cfg.DrainGrace - callTakes - now
	if most := min(within, max(left, lateAsk)); latest > most {
		latest = most
		earliest = time.Duration(askEarliest * float64(latest))
	}
	b.askAt = now + earliest + time.Duration(b.rng.Float64()*float64(latest-earliest))
	b.askFails++
}

// A fleet whose calls the list service can answer within staggerFrom needs no order among them; no watch
// is opened later than staggerMost after the whole list came.
const staggerFrom, staggerMost = time.Second, 4 * time.Second

// SubscribeDelay is how long after the whole list its subscription may be made, where many balancers ask at once.
func SubscribeDelay(balancers int) time.Duration {
	return max(0, min(askEach*time.Duration(balancers)-staggerFrom, staggerMost))
}
