package sidecar

import "time"

// balancerClock is the balancer's clock. It is monotonic and starts at the Unix time of the process's
// start, so that a booking server that started earlier has a positive start time. On a clock that starts
// at 0, such a server would count as one that started long ago, and would get no slow start.
type balancerClock struct {
	startedAt time.Time
	wallNow   func() time.Time // the wall clock, which may be set
	now       time.Duration    // time of the event being handled
}

func newBalancerClock() balancerClock {
	c := balancerClock{startedAt: time.Now(), wallNow: time.Now}
	c.now = c.read()
	return c
}

// read returns the current time, and does not change the time of the event being handled.
func (c *balancerClock) read() time.Duration {
	return time.Duration(c.startedAt.UnixNano()) + time.Since(c.startedAt)
}

// at converts a time on this clock to a time.Time.
func (c *balancerClock) at(t time.Duration) time.Time {
	return c.startedAt.Add(t - time.Duration(c.startedAt.UnixNano()))
}

// wallStep returns how far the wall clock has been set ahead since this process started.
func (c *balancerClock) wallStep() time.Duration {
	return time.Duration(c.wallNow().UnixNano()) - c.read()
}

// wakeTimer is the balancer's only timer.
type wakeTimer struct {
	timer *time.Timer
	due   time.Duration // on the balancer's clock; 0: not armed
}

func newWakeTimer() wakeTimer { return wakeTimer{timer: time.NewTimer(time.Hour)} }

// arm sets the timer. While the timer is armed, the balancer calls arm only for an earlier time.
func (w *wakeTimer) arm(now, after time.Duration) {
	w.due = now + after
	w.timer.Reset(after)
}

// fired reports whether the balancer must be woken. A timer that has fired early is armed again for
// the remaining time: the balancer would ignore an early call and not arm the timer again.
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
