package sidecar

import (
	"sync/atomic"
	"time"
)

const (
	// schedulingInterval is the time between two measurements of the scheduling delay.
	schedulingInterval = 10 * time.Millisecond
	// schedulingWatch is how long the delay is measured after the last sign of pressure.
	schedulingWatch = 2 * time.Second
)

// schedulingDelay estimates how long a goroutine of this process waits for a processor once it may run. A request that
// was read that late had arrived earlier, and its client's timeout was running. It is measured only under pressure:
// a timer for each measurement would cost more than it is worth otherwise.
type schedulingDelay struct {
	startedAt time.Time
	until     atomic.Int64 // since startedAt: when the measurement ends
	running   atomic.Bool
	measured  atomic.Int64 // since startedAt: when the last measurement was made
	delay     atomic.Int64 // by the last measurement
}

func newSchedulingDelay() *schedulingDelay { return &schedulingDelay{startedAt: time.Now()} }

// watch measures the delay for the next schedulingWatch.
func (d *schedulingDelay) watch() {
	now := time.Since(d.startedAt)
	d.until.Store(int64(now + schedulingWatch))
	if d.running.CompareAndSwap(false, true) {
		d.measured.Store(int64(now))
		d.delay.Store(0)
		go d.measure() // ends with the pressure
	}
}

// measure measures the delay of a timer until no watch is left.
func (d *schedulingDelay) measure() {
	for {
		due := time.Since(d.startedAt) + schedulingInterval
		time.Sleep(schedulingInterval)
		now := time.Since(d.startedAt)
		d.delay.Store(int64(max(0, now-due)))
		d.measured.Store(int64(now))
		if int64(now) > d.until.Load() {
			d.running.Store(false)
			return
		}
	}
}

// estimate returns the delay of a goroutine that runs now.
func (d *schedulingDelay) estimate() time.Duration {
	if d == nil || !d.running.Load() {
		return 0
	}
	overdue := time.Since(d.startedAt) - time.Duration(d.measured.Load()) - schedulingInterval
	return max(0, overdue, time.Duration(d.delay.Load()))
}
