package simwire

import (
	"encoding/binary"
	"time"
)

// ReplyWriter encodes a frame of actions.
type ReplyWriter struct{ recordWriter }

// Begin starts the reply to a batch and discards the previous one.
func (w *ReplyWriter) Begin(batch uint32) {
	w.buf = append(w.buf[:0], make([]byte, replyHeaderSize)...)
	binary.LittleEndian.PutUint32(w.buf, batch)
	w.records = 0
}

// Bytes returns the finished frame, which is valid until the next Begin.
func (w *ReplyWriter) Bytes() []byte {
	binary.LittleEndian.PutUint32(w.buf[4:], uint32(len(w.buf)-replyHeaderSize))
	binary.LittleEndian.PutUint32(w.buf[8:], w.records)
	return w.buf
}

// CallOut starts an attempt. With a timeout of 0 it may take until the client's deadline.
func (w *ReplyWriter) CallOut(instance, job uint32, to Upstream, timeout time.Duration) {
	w.begin(ActionCallOut, instance)
	w.u32(job)
	w.upstream(to)
	w.millis(timeout)
	w.end()
}

// SetAlarm sets a timer, which causes a Wake event with the cookie.
func (w *ReplyWriter) SetAlarm(instance uint32, after time.Duration, cookie uint64) {
	w.begin(ActionSetAlarm, instance)
	w.millis(after)
	w.u64(cookie)
	w.end()
}

// Inspect probes a server.
func (w *ReplyWriter) Inspect(instance uint32, to Upstream) {
	w.begin(ActionInspect, instance)
	w.upstream(to)
	w.end()
}

// PushBack refuses a request.
func (w *ReplyWriter) PushBack(instance, job uint32, pause time.Duration) {
	w.begin(ActionPushBack, instance)
	w.u32(job)
	w.millis(pause)
	w.end()
}

// Lose fails a request.
func (w *ReplyWriter) Lose(instance, job uint32) {
	w.begin(ActionLose, instance)
	w.u32(job)
	w.end()
}

// Recall cancels an attempt.
func (w *ReplyWriter) Recall(instance, job uint32, hop uint8) {
	w.begin(ActionRecall, instance)
	w.u32(job)
	w.u8(hop)
	w.end()
}

// Tail subscribes to the endpoint list, or ends the subscription.
func (w *ReplyWriter) Tail(instance uint32, on bool) {
	w.begin(ActionTail, instance)
	w.flag(on)
	w.end()
}

// WriteLog writes a line for the simulator's report.
func (w *ReplyWriter) WriteLog(instance uint32, line string) {
	w.begin(ActionWriteLog, instance)
	w.text(line)
	w.end()
}

// Die reports that the decision code has failed.
func (w *ReplyWriter) Die(instance uint32, reason string) {
	w.begin(ActionDie, instance)
	w.text(reason)
	w.end()
}
