package simwire

import (
	"fmt"
	"time"
)

// upstreamSize is the size of a server's address on the wire.
const upstreamSize = 6

// Upstream is a server's address and port: the six bytes on the wire in little-endian order.
type Upstream uint64

// LoadReport is a server's load report: up to four values, in the column order given by the settings.
type LoadReport struct {
	Count  int
	Values [4]float32
}

// Value returns the value of a column, and whether the report has that column.
func (r LoadReport) Value(column int) (float64, bool) {
	if column < 0 || column >= r.Count {
		return 0, false
	}
	return float64(r.Values[column]), true
}

// Entry is an entry of an endpoint list.
type Entry struct {
	Upstream Upstream
	Area     uint8  // zone
	Family   uint8  // kind of machine
	Cohort   uint16 // cell
	Status   uint8
	Rating   float64       // weight
	Boot     time.Duration // time of the last start; 0: before the run
}

// Ask is a client's request.
type Ask struct {
	Job    uint32 // id of the request
	Bits   uint16
	Key    uint64 // 0: none
	Tenant uint32
	Left   time.Duration // time left until the client's deadline
	Hint   time.Duration // expected work, valid with AskBitHint
	Kind   uint8         // class
}

// Finished is the outcome of an attempt.
type Finished struct {
	Job      uint32
	Hop      uint8 // number of the attempt
	Upstream Upstream
	Ending   uint16 // an outcome code
	Took     time.Duration
	Settled  bool // the request has been answered, or its client has left
	Pressure LoadReport
}

// Instance reads the instance that a record belongs to. A Manifest has no instance.
func (r Record) Instance() (uint32, error) {
	f := r.reader()
	instance := f.u32()
	return instance, f.err()
}

// afterInstance returns a reader positioned behind the instance field.
func (r Record) afterInstance() fieldReader {
	f := r.reader()
	f.u32()
	return f
}

// Manifest reads a numbered endpoint list.
func (r Record) Manifest() (page uint16, entries []Entry, err error) {
	f := r.reader()
	page = f.u16()
	n := f.u32()
	if f.short || uint64(n)*entrySize > uint64(len(f.left)) {
		return 0, nil, fmt.Errorf("record %d: list length is %d, which exceeds the %d bytes left", r.Code, n, len(f.left))
	}
	entries = make([]Entry, n)
	for i := range entries {
		entries[i] = Entry{
			Upstream: f.upstream(), Area: f.u8(), Family: f.u8(), Cohort: f.u16(), Status: f.u8(),
			Rating: float64(f.f32()), Boot: f.millis(),
		}
	}
	return page, entries, f.err()
}

// OpenInstance reads the start of an instance. info aliases the batch's body.
func (r Record) OpenInstance() (seed uint64, info []byte, err error) {
	f := r.afterInstance()
	seed = f.u64()
	info = f.bytes(int(f.u32()))
	return seed, info, f.err()
}

// Fleet reads a message about the endpoint list.
func (r Record) Fleet() (kind uint8, version uint32, page uint16, err error) {
	f := r.afterInstance()
	kind, version, page = f.u8(), f.u32(), f.u16()
	return kind, version, page, f.err()
}

// Ask reads a client's request.
func (r Record) Ask() (Ask, error) {
	f := r.afterInstance()
	a := Ask{
		Job: f.u32(), Bits: f.u16(), Key: f.u64(), Tenant: f.u32(), Left: f.millis(), Hint: f.millis(), Kind: f.u8(),
	}
	return a, f.err()
}

// Finished reads the end of an attempt.
func (r Record) Finished() (Finished, error) {
	f := r.afterInstance()
	finished := Finished{
		Job: f.u32(), Hop: f.u8(), Upstream: f.upstream(), Ending: f.u16(), Took: f.millis(), Settled: f.flag(),
		Pressure: f.loadReport(),
	}
	return finished, f.err()
}

// CheckResult reads the result of a probe.
func (r Record) CheckResult() (server Upstream, ending uint16, report LoadReport, err error) {
	f := r.afterInstance()
	server, ending = f.upstream(), f.u16()
	f.millis() // duration of the probe, unused
	report = f.loadReport()
	return server, ending, report, f.err()
}

// Job reads the request id of a ClientLeft or Headers record.
func (r Record) Job() (uint32, error) {
	f := r.afterInstance()
	job := f.u32()
	return job, f.err()
}

// Cookie reads the timer cookie of a Wake record.
func (r Record) Cookie() (uint64, error) {
	f := r.afterInstance()
	cookie := f.u64()
	return cookie, f.err()
}
