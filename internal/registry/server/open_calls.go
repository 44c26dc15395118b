package server

import "sync/atomic"

// openCalls counts the calls of one kind that stay open, against a limit on their number.
type openCalls struct{ count atomic.Int64 }

// acquire counts a call and returns false if the limit is reached. The caller must call release after each success.
func (o *openCalls) acquire(limit int) bool {
	if o.count.Add(1) > int64(limit) {
		o.count.Add(-1)
		return false
	}
	return true
}

func (o *openCalls) release() { o.count.Add(-1) }

func (o *openCalls) number() int { return int(o.count.Load()) }
