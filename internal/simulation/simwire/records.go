package simwire

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"barleywick/internal/settings"
)

// Record is a record of a frame: an event or an action.
type Record struct {
	Code   uint16
	Fields []byte
}

// NextRecord returns the first record of a frame's body and the rest of the body.
func NextRecord(body []byte) (Record, []byte, error) {
	if len(body) < recordHeaderSize {
		return Record{}, nil, fmt.Errorf("truncated record header: %d bytes left, want %d", len(body), recordHeaderSize)
	}
	size := binary.LittleEndian.Uint32(body[2:])
	record := Record{Code: binary.LittleEndian.Uint16(body)}
	body = body[recordHeaderSize:]
	if uint64(size) > uint64(len(body)) {
		return Record{}, nil, fmt.Errorf("record with code %d: size is %d bytes, only %d are left", record.Code, size, len(body))
	}
	record.Fields = body[:size]
	return record, body[size:], nil
}

// reader returns a reader of the record's fields.
func (r Record) reader() fieldReader { return fieldReader{code: r.Code, left: r.Fields} }

// fieldReader reads the fields of a record in order. If the record is too short, the truncated field
// and all later ones are zero, and err returns an error. Unread bytes are allowed, as later versions
// may add fields.
type fieldReader struct {
	code   uint16
	left   []byte
	offset int // of left within the record's fields
	short  bool
}

// err returns an error if the record was too short.
func (f *fieldReader) err() error {
	if f.short {
		return fmt.Errorf("record with code %d: field at byte %d is truncated", f.code, recordHeaderSize+f.offset)
	}
	return nil
}

func (f *fieldReader) bytes(n int) []byte {
	if f.short || n < 0 || n > len(f.left) {
		f.short = true
		return nil
	}
	field := f.left[:n]
	f.left, f.offset = f.left[n:], f.offset+n
	return field
}

func (f *fieldReader) u8() uint8 {
	if b := f.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (f *fieldReader) u16() uint16 {
	if b := f.bytes(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (f *fieldReader) u32() uint32 {
	if b := f.bytes(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (f *fieldReader) u64() uint64 {
	if b := f.bytes(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (f *fieldReader) f32() float32 { return math.Float32frombits(f.u32()) }

func (f *fieldReader) f64() float64 { return math.Float64frombits(f.u64()) }

func (f *fieldReader) flag() bool { return f.u8() != 0 }

// millis reads a duration in milliseconds.
func (f *fieldReader) millis() time.Duration { return settings.DurationFromMillis(f.f64()) }

func (f *fieldReader) upstream() Upstream {
	field := f.bytes(upstreamSize)
	if field == nil {
		return 0
	}
	var b [8]byte
	copy(b[:], field)
	return Upstream(binary.LittleEndian.Uint64(b[:]))
}

func (f *fieldReader) loadReport() LoadReport {
	var report LoadReport
	n := int(f.u8())
	values := f.bytes(4 * n)
	if values == nil {
		return report
	}
	report.Count = min(n, len(report.Values))
	for i := range report.Count {
		report.Values[i] = math.Float32frombits(binary.LittleEndian.Uint32(values[4*i:]))
	}
	return report
}

// recordWriter encodes the records of a frame. Each record starts with begin or beginShared and is
// completed by end.
type recordWriter struct {
	buf     []byte
	records uint32
	start   int // offset of the current record's fields in buf
}

// begin starts a record for an instance.
func (w *recordWriter) begin(code uint16, instance uint32) {
	w.beginShared(code)
	w.u32(instance)
}

// beginShared starts a record that does not belong to one instance.
func (w *recordWriter) beginShared(code uint16) {
	w.records++
	w.u16(code)
	w.u32(0) // size, set by end
	w.start = len(w.buf)
}

func (w *recordWriter) end() {
	size := len(w.buf) - w.start
	binary.LittleEndian.PutUint32(w.buf[w.start-4:], uint32(size))
}

func (w *recordWriter) u8(v uint8) { w.buf = append(w.buf, v) }

func (w *recordWriter) u16(v uint16) { w.buf = binary.LittleEndian.AppendUint16(w.buf, v) }

func (w *recordWriter) u32(v uint32) { w.buf = binary.LittleEndian.AppendUint32(w.buf, v) }

func (w *recordWriter) u64(v uint64) { w.buf = binary.LittleEndian.AppendUint64(w.buf, v) }

func (w *recordWriter) f32(v float32) { w.u32(math.Float32bits(v)) }

func (w *recordWriter) f64(v float64) { w.u64(math.Float64bits(v)) }

func (w *recordWriter) millis(d time.Duration) { w.f64(ToMillis(d)) }

func (w *recordWriter) flag(on bool) {
	if on {
		w.u8(1)
	} else {
		w.u8(0)
	}
}

func (w *recordWriter) upstream(u Upstream) {
	for range upstreamSize {
		w.u8(byte(u))
		u >>= 8
	}
}

func (w *recordWriter) loadReport(report LoadReport) {
	w.u8(uint8(report.Count))
	for _, v := range report.Values[:report.Count] {
		w.f32(v)
	}
}

// text writes a string with its length, truncated to the largest length that the field can hold.
func (w *recordWriter) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	w.u16(uint16(len(s)))
	w.buf = append(w.buf, s...)
}
