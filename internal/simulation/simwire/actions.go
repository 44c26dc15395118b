package simwire

import (
	"barleywick/internal/settings"
	"time"
)

// Action is one action; which fields it has follows from its code.
type Action struct {
	Code   uint16
	Inst   uint32
	Job    uint32
	Hop    uint8
	To     Upstream
	Time   time.Duration // a time-out, pause or delay
	Cookie uint64
	On     bool
	Text   string
}

// Action reads a record as an action. One of a code that is not known has its code alone.
func (r Record) Action() (Action, error) {
	c := fieldReader{b: r.Fields}
	a := Action{Code: r.Code, Inst: c.u32()}
	switch r.Code {
	case ActionCallOut:
		a.Job, a.To, a.Time = c.u32(), c.addr(), settings.DurationFromMillis(c.f64())
	case ActionPushBack:
		a.Job, a.Time = c.u32(), settings.DurationFromMillis(c.f64())
	case ActionLose:
		a.Job = c.u32()
	case ActionRecall:
		a.Job, a.Hop = c.u32(), c.u8()
	case ActionSetAlarm:
		a.Time, a.Cookie = settings.DurationFromMillis(c.f64()), c.u64()
	case ActionInspect:
		a.To = c.addr()
	case ActionTail:
		a.On = c.u8() != 0
	case ActionWriteLog, ActionDie:
		a.Text = string(c.take(int(c.u16())))
	}
	return a, c.done(r.Code)
}
