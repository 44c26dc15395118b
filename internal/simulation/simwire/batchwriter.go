package simwire

import (
	"encoding/binary"
	"math"
	"time"
)

// BatchWriter encodes a frame of events, as the simulator does.
type BatchWriter struct{ recordWriter }

// Begin starts a batch and discards the previous one.
func (w *BatchWriter) Begin(number uint32, clock time.Duration) {
	w.buf = append(w.buf[:0], make([]byte, batchHeaderSize)...)
	binary.LittleEndian.PutUint32(w.buf, number)
	binary.LittleEndian.PutUint64(w.buf[12:], math.Float64bits(ToMillis(clock)))
	w.records = 0
}

// Bytes returns the finished frame, which is valid until the next Begin.
func (w *BatchWriter) Bytes() []byte {
	binary.LittleEndian.PutUint32(w.buf[4:], w.records)
	binary.LittleEndian.PutUint32(w.buf[8:], uint32(len(w.buf)-batchHeaderSize))
	return w.buf
}

// OpenInstance starts an instance with its settings.
func (w *BatchWriter) OpenInstance(instance uint32, seed uint64, info []byte) {
	w.begin(EventOpenInstance, instance)
	w.u64(seed)
	w.u32(uint32(len(info)))
	w.buf = append(w.buf, info...)
	w.end()
}

// CrashNow ends an instance.
func (w *BatchWriter) CrashNow(instance uint32) {
	w.begin(EventCrashNow, instance)
	w.end()
}

// Manifest stores an endpoint list under a page number, for all instances.
func (w *BatchWriter) Manifest(page uint16, entries []Entry) {
	w.beginShared(EventManifest)
	w.u16(page)
	w.u32(uint32(len(entries)))
	for _, e := range entries {
		w.upstream(e.Upstream)
		w.u8(e.Area)
		w.u8(e.Family)
		w.u16(e.Cohort)
		w.u8(e.Status)
		w.f32(float32(e.Rating))
		w.millis(e.Boot)
	}
	w.end()
}

// Fleet delivers an endpoint list, by its page number, or a failed poll to an instance.
func (w *BatchWriter) Fleet(instance uint32, kind uint8, version uint32, page uint16) {
	w.begin(EventFleet, instance)
	w.u8(kind)
	w.u32(version)
	w.u16(page)
	w.end()
}

// Ask delivers a client's request.
func (w *BatchWriter) Ask(instance uint32, a Ask) {
	w.begin(EventAsk, instance)
	w.u32(a.Job)
	w.u16(a.Bits)
	w.u64(a.Key)
	w.u32(a.Tenant)
	w.millis(a.Left)
	w.millis(a.Hint)
	w.u8(a.Kind)
	w.end()
}

// Finished reports the end of an attempt, without a load report.
func (w *BatchWriter) Finished(instance uint32, f Finished) {
	w.begin(EventFinished, instance)
	w.u32(f.Job)
	w.u8(f.Hop)
	w.upstream(f.Upstream)
	w.u16(f.Ending)
	w.millis(f.Took)
	w.flag(f.Settled)
	w.loadReport(LoadReport{})
	w.end()
}

// ClientLeft reports that a client has left.
func (w *BatchWriter) ClientLeft(instance, job uint32) {
	w.begin(EventClientLeft, instance)
	w.u32(job)
	w.end()
}

// Wake reports that a timer is due.
func (w *BatchWriter) Wake(instance uint32, cookie uint64) {
	w.begin(EventWake, instance)
	w.u64(cookie)
	w.end()
}

// CheckResult reports the result of a probe.
func (w *BatchWriter) CheckResult(instance uint32, server Upstream, ending uint16, took time.Duration, report LoadReport) {
	w.begin(EventCheckResult, instance)
	w.upstream(server)
	w.u16(ending)
	w.millis(took)
	w.loadReport(report)
	w.end()
}
