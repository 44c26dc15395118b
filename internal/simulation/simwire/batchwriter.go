package simwire

import (
	"encoding/binary"
	"math"
	"time"
)

// The simulator's end of the wire: events are written and actions read.

// BatchWriter gathers the events of one batch.
type BatchWriter struct{ recordWriter }

// Begin empties the batch and starts one of that number and time.
func (e *BatchWriter) Begin(number uint32, clock time.Duration) {
	e.buf = append(e.buf[:0], make([]byte, batchHeaderSize)...)
	le := binary.LittleEndian
	le.PutUint32(e.buf, number)
	le.PutUint64(e.buf[12:], math.Float64bits(ToMillis(clock)))
	e.count = 0
}

// Bytes completes the frame; it stays valid until the next Begin.
func (e *BatchWriter) Bytes() []byte {
	binary.LittleEndian.PutUint32(e.buf[4:], e.count)
	binary.LittleEndian.PutUint32(e.buf[8:], uint32(len(e.buf)-batchHeaderSize))
	return e.buf
}

// OpenInstance starts an instance.
func (e *BatchWriter) OpenInstance(inst uint32, seed uint64, info []byte) {
	e.head(EventOpenInstance, 16+len(info), inst)
	e.u64(seed)
	e.u32(uint32(len(info)))
	e.buf = append(e.buf, info...)
}

// CrashNow ends one.
func (e *BatchWriter) CrashNow(inst uint32) { e.head(EventCrashNow, 4, inst) }

// Manifest gives a list a number. It belongs to no instance.
func (e *BatchWriter) Manifest(page uint16, entries []Entry) {
	e.count++
	e.u16(EventManifest)
	e.u32(uint32(6 + entrySize*len(entries)))
	e.u16(page)
	e.u32(uint32(len(entries)))
	for _, x := range entries {
		e.addr(x.Upstream)
		e.u8(x.Area)
		e.u8(x.Family)
		e.u16(x.Cohort)
		e.u8(x.Status)
		e.u32(math.Float32bits(float32(x.Rating)))
		e.f64(ToMillis(x.Boot))
	}
}

// Fleet tells an instance of a list.
func (e *BatchWriter) Fleet(inst uint32, kind uint8, version uint32, page uint16) {
	e.head(EventFleet, 11, inst)
	e.u8(kind)
	e.u32(version)
	e.u16(page)
}

// Ask brings a request.
func (e *BatchWriter) Ask(inst uint32, a Ask) {
	e.head(EventAsk, 39, inst)
	e.u32(a.Job)
	e.u16(a.Bits)
	e.u64(a.Key)
	e.u32(a.Tenant)
	e.f64(ToMillis(a.Left))
	e.f64(ToMillis(a.Hint))
	e.u8(a.Kind)
}

// Finished tells of an attempt's end; it carries no load report.
func (e *BatchWriter) Finished(inst uint32, f Finished) {
	e.head(EventFinished, 27, inst)
	e.u32(f.Job)
	e.u8(f.Hop)
	e.addr(f.Upstream)
	e.u16(f.Ending)
	e.f64(ToMillis(f.Took))
	e.flag(f.Settled)
	e.u8(0)
}

// ClientLeft tells that a client has gone.
func (e *BatchWriter) ClientLeft(inst, job uint32) {
	e.head(EventClientLeft, 8, inst)
	e.u32(job)
}

// Wake tells that a timer is due.
func (e *BatchWriter) Wake(inst uint32, cookie uint64) {
	e.head(EventWake, 12, inst)
	e.u64(cookie)
}

// CheckResult tells of a probe's end.
func (e *BatchWriter) CheckResult(inst uint32, up Upstream, ending uint16, took time.Duration, r LoadReport) {
	e.head(EventCheckResult, 21+4*r.Count, inst)
	e.addr(up)
	e.u16(ending)
	e.f64(ToMillis(took))
	e.u8(uint8(r.Count))
	for _, v := range r.Values[:r.Count] {
		e.u32(math.Float32bits(v))
	}
}
