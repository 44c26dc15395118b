package sidecar

import "time"

// balancerClock is the balancer's time. It runs monotonically and began at Unix time, so that the
// earlier start of a booking server is a positive time on it: counted from 0, a server that started
// before this process would pass for one of long ago, and would get no slow start.
type balancerClock struct {
	startedAt time.Time
	wallNow   func() time.Time // the machine's clock, which may be set
	now       time.Duration    // at the event under way
}

func newBalancerClock() balancerClock {
	c := balancerClock{startedAt: time.Now(), wallNow: time.Now}
	c.now = c.read()
	return c
}

// read returns the time now; the time of the event under way stays.
func (c *balancerClock) read() time.Duration {
	return time.Duration(c.startedAt.UnixNano()) + time.Since(c.startedAt)
}

// at turns a time of this clock into a point in time.
func (c *balancerClock) at(t time.Duration) time.Time {
	return c.startedAt.Add(t - time.Duration(c.startedAt.UnixNano()))
}

// wallStep returns by how much the wall clock has been set ahead since this process began.
func (c *balancerClock) wallStep() time.Duration {
	return time.Duration(c.wallNow().UnixNano()) - c.read()
}

// wakeTimer is the one timer that the balancer asks for.
type wakeTimer struct {
	timer *time.Timer
	due   time.Duration // on the balancer's clock; 0: not armed
}

func newWakeTimer() wakeTimer { return wakeTimer{timer: time.NewTimer(time.Hour)} }

// arm sets the timer. The balancer asks again only for an earlier time.
func (w *wakeTimer) arm(now, after time.Duration) {
	w.due = now + after
	w.timer.Reset(after)
}

// fired says whether the balancer is to be woken now. A timer that fires early is armed for the
// rest: the balancer would ignore it and not ask again.
func (w *wakeTimer) fired(now time.Duration) bool {
	if w.due == 0 {
		return false
	}
	if now < w.due {
		w.timer.Reset(w.due - now)
		return false
	}
	w.due = 0
	return true
}
