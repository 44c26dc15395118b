package simwire

import "time"

// Action is a decoded action. The code determines which of the fields are set.
type Action struct {
	Code     uint16
	Instance uint32
	Job      uint32
	Hop      uint8
	To       Upstream
	Duration time.Duration // a timeout, a pause or a delay
	Cookie   uint64
	On       bool
	Text     string
}

// Action decodes a record as an action. For an unknown code only the code and the instance are set.
func (r Record) Action() (Action, error) {
	f := r.reader()
	a := Action{Code: r.Code, Instance: f.u32()}
	switch r.Code {
	case ActionCallOut:
		a.Job, a.To, a.Duration = f.u32(), f.upstream(), f.millis()
	case ActionPushBack:
		a.Job, a.Duration = f.u32(), f.millis()
	case ActionLose:
		a.Job = f.u32()
	case ActionRecall:
		a.Job, a.Hop = f.u32(), f.u8()
	case ActionSetAlarm:
		a.Duration, a.Cookie = f.millis(), f.u64()
	case ActionInspect:
		a.To = f.upstream()
	case ActionTail:
		a.On = f.flag()
	case ActionWriteLog, ActionDie:
		a.Text = string(f.bytes(int(f.u16())))
	}
	return a, f.err()
}
