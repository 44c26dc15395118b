package simwire

import (
	"encoding/binary"
	"time"
)

// ReplyWriter gathers the actions that answer one batch.
type ReplyWriter struct{ recordWriter }

// Begin empties the reply and starts one for the batch of that number.
func (p *ReplyWriter) Begin(number uint32) {
	p.buf = append(p.buf[:0], make([]byte, replyHeaderSize)...)
	binary.LittleEndian.PutUint32(p.buf, number)
	p.count = 0
}

// Bytes completes the frame; it stays valid until the next Begin.
func (p *ReplyWriter) Bytes() []byte {
	binary.LittleEndian.PutUint32(p.buf[4:], uint32(len(p.buf)-replyHeaderSize))
	binary.LittleEndian.PutUint32(p.buf[8:], p.count)
	return p.buf
}

// CallOut starts an attempt.
func (p *ReplyWriter) CallOut(inst, job uint32, to Upstream, patience time.Duration) {
	p.head(ActionCallOut, 22, inst)
	p.u32(job)
	p.addr(to)
	p.f64(ToMillis(patience))
}

// SetAlarm asks for a Wake.
func (p *ReplyWriter) SetAlarm(inst uint32, after time.Duration, cookie uint64) {
	p.head(ActionSetAlarm, 20, inst)
	p.f64(ToMillis(after))
	p.u64(cookie)
}

// Inspect probes an upstream.
func (p *ReplyWriter) Inspect(inst uint32, to Upstream) {
	p.head(ActionInspect, 10, inst)
	p.addr(to)
}

// PushBack refuses a request.
func (p *ReplyWriter) PushBack(inst, job uint32, pause time.Duration) {
	p.head(ActionPushBack, 16, inst)
	p.u32(job)
	p.f64(ToMillis(pause))
}

// Lose fails a request.
func (p *ReplyWriter) Lose(inst, job uint32) {
	p.head(ActionLose, 8, inst)
	p.u32(job)
}

// Recall calls an attempt off.
func (p *ReplyWriter) Recall(inst, job uint32, hop uint8) {
	p.head(ActionRecall, 9, inst)
	p.u32(job)
	p.u8(hop)
}

// Tail subscribes to the server list, or ends the subscription.
func (p *ReplyWriter) Tail(inst uint32, on bool) {
	p.head(ActionTail, 5, inst)
	p.flag(on)
}

// WriteLog writes a line for the report.
func (p *ReplyWriter) WriteLog(inst uint32, line string) { p.text(ActionWriteLog, inst, line) }

// Die says that the decision code has failed.
func (p *ReplyWriter) Die(inst uint32, note string) { p.text(ActionDie, inst, note) }
