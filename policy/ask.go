package policy

import (
	"cmp"
	"time"
)

// Asking for the server list. One service answers all balancers in turn, and calls that have waited too long
// fail. Watches break for many at once; if all call again within the time that the service takes for all, each
// call waits behind those that are to fail. So the pause after a failure grows with the number of balancers.

// askEach is what the list service is given for each balancer's call: a list takes it up to 75 ms
// when it is short of time, and the half of the balancers may have been cut off at once.
const askEach = 40 * time.Millisecond

// missed is what is left of the 6 s until what was missed counts as told: to notice that a watch or a call is
// silent takes 3 s, the next call 1 and a tick 0.1.
const missed = 1900 * time.Millisecond

// ask subscribes to the list. Without any word it asks again before its silence counts as being told.
func (b *Balancer) ask(now time.Duration) {
	b.askAt = now + cmp.Or(b.cfg.AskWithin*3/4, lastPause)
	b.host.WatchList()
}

// askAgain sets the next call after one that failed: spread, as one of many, and in time for what drains.
func (b *Balancer) askAgain(now time.Duration) {
	least := max(firstPause, askEach*time.Duration(b.cfg.Balancers))
	pause := min(least<<min(b.askFails, 2), (missed+b.cfg.DrainGrace)*2/3) // half as much again is the longest
	b.askAt = now + time.Duration(float64(pause)*(0.5+b.rng.Float64()))
	b.askFails++
}
