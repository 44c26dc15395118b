package simwire

import (
	"encoding/binary"
	"math"
)

// recordWriter gathers the recordWriter of a frame.
type recordWriter struct {
	buf   []byte
	count uint32
}

func (p *recordWriter) head(code uint16, size int, inst uint32) {
	p.count++
	p.u16(code)
	p.u32(uint32(size))
	p.u32(inst)
}

func (p *recordWriter) u8(v uint8) { p.buf = append(p.buf, v) }

func (p *recordWriter) u16(v uint16) { p.buf = binary.LittleEndian.AppendUint16(p.buf, v) }

func (p *recordWriter) u32(v uint32) { p.buf = binary.LittleEndian.AppendUint32(p.buf, v) }

func (p *recordWriter) u64(v uint64) { p.buf = binary.LittleEndian.AppendUint64(p.buf, v) }

func (p *recordWriter) f64(v float64) { p.u64(math.Float64bits(v)) }

func (p *recordWriter) flag(on bool) {
	if on {
		p.u8(1)
	} else {
		p.u8(0)
	}
}

func (p *recordWriter) addr(u Upstream) {
	for range 6 {
		p.u8(byte(u))
		u >>= 8
	}
}

func (p *recordWriter) text(code uint16, inst uint32, s string) {
	s = s[:min(len(s), math.MaxUint16)]
	p.head(code, 6+len(s), inst)
	p.u16(uint16(len(s)))
	p.buf = append(p.buf, s...)
}
