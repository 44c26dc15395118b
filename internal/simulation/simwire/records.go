package simwire

import (
	"encoding/binary"
	"fmt"
	"math"
)

// Record is one record of a batch: its code and its fields.
type Record struct {
	Code   uint16
	Fields []byte
}

// NextRecord cuts the next record off body and returns the rest.
func NextRecord(body []byte) (Record, []byte, error) {
	if len(body) < recordHeaderSize {
		return Record{}, nil, fmt.Errorf("record header cut off: %d bytes left", len(body))
	}
	n := binary.LittleEndian.Uint32(body[2:])
	rec := Record{Code: binary.LittleEndian.Uint16(body)}
	body = body[recordHeaderSize:]
	if uint64(n) > uint64(len(body)) {
		return Record{}, nil, fmt.Errorf("record %d: %d bytes claimed, %d left", rec.Code, n, len(body))
	}
	rec.Fields = body[:n]
	return rec, body[n:], nil
}

// fieldReader takes fields off a record. After a short read bad is set and every
// further field is zero. Bytes left over are allowed: fields may be added.
type fieldReader struct {
	b     []byte
	at    int // where the next field begins in its record, as the protocol counts, less the record's head
	short bool
}

func (c *fieldReader) take(n int) []byte {
	if c.short || n < 0 || n > len(c.b) {
		c.short = true
		return nil
	}
	f := c.b[:n]
	c.b, c.at = c.b[n:], c.at+n
	return f
}

func (c *fieldReader) u8() uint8 {
	if f := c.take(1); f != nil {
		return f[0]
	}
	return 0
}

func (c *fieldReader) u16() uint16 {
	if f := c.take(2); f != nil {
		return binary.LittleEndian.Uint16(f)
	}
	return 0
}

func (c *fieldReader) u32() uint32 {
	if f := c.take(4); f != nil {
		return binary.LittleEndian.Uint32(f)
	}
	return 0
}

func (c *fieldReader) u64() uint64 {
	if f := c.take(8); f != nil {
		return binary.LittleEndian.Uint64(f)
	}
	return 0
}

func (c *fieldReader) f64() float64 { return math.Float64frombits(c.u64()) }

func (c *fieldReader) addr() Upstream {
	f := c.take(6)
	if f == nil {
		return 0
	}
	var b [8]byte
	copy(b[:], f)
	return Upstream(binary.LittleEndian.Uint64(b[:]))
}

func (c *fieldReader) report() LoadReport {
	var r LoadReport
	n := int(c.u8())
	f := c.take(4 * n)
	if f == nil {
		return r
	}
	r.Count = min(n, len(r.Values))
	for i := range r.Count {
		r.Values[i] = math.Float32frombits(binary.LittleEndian.Uint32(f[4*i:]))
	}
	return r
}

func (c *fieldReader) done(code uint16) error {
	if c.short {
		return fmt.Errorf("record %d: the field at byte %d is cut off", code, recordHeaderSize+c.at)
	}
	return nil
}
