package httpinput

import (
	"bytes"
	"math"
	"strconv"
)

// MaxHeadFields is how many header fields a request may have. Each of them takes far more memory and
// processor time once it is parsed than its bytes on the wire.
const MaxHeadFields = 128

// HeadStatus is what RequestFramer knows about the head of a request.
type HeadStatus int

// The statuses of a head.
const (
	HeadIncomplete    HeadStatus = iota // more bytes are needed
	HeadComplete                        // the whole head has arrived
	HeadMalformed                       // it is not the head of an HTTP request
	HeadTooLarge                        // it has more bytes than allowed
	HeadTooManyFields                   // it has more than MaxHeadFields fields
)

// RequestFramer finds the end of a request's head and of its body in the bytes of a connection, so that no
// byte of the next request is passed on with them. It keeps no bytes itself. A zero RequestFramer with
// MaxHead set is ready for the first request.
type RequestFramer struct {
	MaxHead int // maximum bytes of a head

	lineStart  int // offset in the head of the line that is not complete yet
	searchedTo int // offset in the head up to which there is no further end of a line
	fields     int
	length     int64 // the value of Content-Length; negative: there is none
	chunked    bool
	unknown    bool // the coding is not known, or its framing is broken: the end cannot be found
	expects    bool // the client waits for a response before it sends the body
	body       bodyFramer
}

// Reset prepares for the next request.
func (f *RequestFramer) Reset() { *f = RequestFramer{MaxHead: f.MaxHead} }

// ScanHead scans the bytes of a head that have arrived so far, from the request's first byte on. If the head
// is complete, size is its length, with the empty line at its end.
func (f *RequestFramer) ScanHead(head []byte) (size int, status HeadStatus) {
	for {
		length := bytes.IndexByte(head[f.searchedTo:], '\n')
		if length < 0 {
			f.searchedTo = len(head)
			if len(head) >= f.MaxHead {
				return 0, HeadTooLarge
			}
			return 0, HeadIncomplete
		}
		end := f.searchedTo + length + 1
		line := bytes.TrimSuffix(head[f.lineStart:end-1], []byte{'\r'})
		isFirst := f.lineStart == 0
		f.lineStart, f.searchedTo = end, end
		switch {
		case end > f.MaxHead:
			return 0, HeadTooLarge
		case isFirst:
			if !isRequestLine(line) {
				return 0, HeadMalformed
			}
			f.length = -1
		case len(line) == 0:
			f.beginBody()
			return end, HeadComplete
		case !f.addField(line):
			return 0, HeadMalformed
		case f.fields > MaxHeadFields:
			return 0, HeadTooManyFields
		}
	}
}

// isRequestLine reports whether a line has the parts of a request line: method, target and version.
func isRequestLine(line []byte) bool {
	method, rest, ok := bytes.Cut(line, []byte{' '})
	at := bytes.LastIndexByte(rest, ' ')
	return ok && len(method) > 0 && at > 0 && bytes.HasPrefix(rest[at+1:], []byte("HTTP/"))
}

var (
	contentLength    = []byte("content-length")
	transferEncoding = []byte("transfer-encoding")
	expect           = []byte("expect")
)

// addField takes a field's part in the framing from its line, and reports whether the line is a field.
func (f *RequestFramer) addField(line []byte) bool {
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
		return false // also the continuation of a field over several lines, which is obsolete
	}
	f.fields++
	value = bytes.TrimSpace(value)
	switch {
	case bytes.EqualFold(name, transferEncoding):
		f.chunked = f.chunked || bytes.EqualFold(value, []byte("chunked"))
		f.unknown = f.unknown || !bytes.EqualFold(value, []byte("chunked"))
	case bytes.EqualFold(name, contentLength):
		length, err := strconv.ParseUint(string(value), 10, 63)
		f.unknown = f.unknown || err != nil || f.length >= 0 && uint64(f.length) != length
		f.length = int64(length)
	case bytes.EqualFold(name, expect):
		f.expects = true
	}
	return true
}

// beginBody prepares for the body of the request whose head is complete.
func (f *RequestFramer) beginBody() {
	switch {
	case f.unknown:
		f.body.remaining = math.MaxInt64
	case f.chunked:
		f.body.state = chunkSize
	default:
		f.body.remaining = max(f.length, 0)
	}
}

// ChunkedWithoutLength reports whether a request whose head is complete is chunked and has no Content-Length.
func (f *RequestFramer) ChunkedWithoutLength() bool { return f.chunked && f.length < 0 }

// BodyLength returns the length of the body of a request whose head is complete. known is false if only the
// body's own framing tells it.
func (f *RequestFramer) BodyLength() (length int64, known bool) {
	return max(f.length, 0), !f.chunked && !f.unknown
}

// CanBuffer reports whether the body of a request whose head is complete may be awaited before the request is
// processed: its end can be found, and the client does not wait for a response before it sends the body.
func (f *RequestFramer) CanBuffer() bool { return !f.unknown && !f.expects }

// Body returns how many of the next bytes belong to the request's body. It must get each byte of the body
// once, and nothing after BodyComplete.
func (f *RequestFramer) Body(b []byte) int { return f.body.advance(b) }

// BodyBound returns a bound on the number of bytes that the body still has, or math.MaxInt if it is not known.
func (f *RequestFramer) BodyBound() int {
	if f.body.state != fixedLength {
		return math.MaxInt
	}
	return int(min(f.body.remaining, math.MaxInt))
}

// BodyComplete reports whether the whole body has been seen.
func (f *RequestFramer) BodyComplete() bool {
	return f.body.state == fixedLength && f.body.remaining == 0
}

// bodyState is the state of a bodyFramer.
type bodyState int

const (
	fixedLength    bodyState = iota // remaining bytes follow
	chunkSize                       // in the digits of a chunk's size
	chunkExtension                  // behind the size, up to the end of its line
	chunkData                       // remaining bytes of a chunk follow
	chunkEnd                        // up to the end of the line behind a chunk's data
	trailerStart                    // at the start of a trailer line
	trailerLine                     // within a trailer line
)

// bodyFramer finds the end of a body.
type bodyFramer struct {
	state     bodyState
	remaining int64 // of the body or of the chunk
	digits    int   // of the chunk's size
}

// maxChunkDigits is above the digits of any chunk that is accepted, and small enough to prevent an overflow.
const maxChunkDigits = 8

// advance returns how many bytes of b belong to the body.
func (f *bodyFramer) advance(b []byte) int {
	for at := 0; at < len(b); {
		switch f.state {
		case fixedLength, chunkData:
			n := int(min(f.remaining, int64(len(b)-at)))
			f.remaining -= int64(n)
			at += n
			if f.state == fixedLength {
				return at
			}
			if f.remaining == 0 {
				f.state = chunkEnd
			}
		default:
			if f.step(b[at]); f.state == fixedLength && f.remaining == 0 {
				return at + 1
			}
			at++
		}
	}
	return len(b)
}

// step takes one byte of the chunks' framing. If the framing is broken, all that follows counts as body: the
// reader of the body fails, and its connection is closed.
func (f *bodyFramer) step(b byte) {
	switch f.state {
	case chunkSize:
		f.stepSize(b)
	case chunkExtension:
		if b == '\n' {
			f.endSizeLine()
		}
	case chunkEnd:
		if b == '\n' {
			f.state, f.digits = chunkSize, 0
		}
	case trailerStart:
		switch b {
		case '\n':
			f.state, f.remaining = fixedLength, 0
		case '\r':
		default:
			f.state = trailerLine
		}
	case trailerLine:
		if b == '\n' {
			f.state = trailerStart
		}
	}
}

// stepSize takes one byte of the line with a chunk's size.
func (f *bodyFramer) stepSize(b byte) {
	digit, isDigit := hexValue(b)
	switch {
	case isDigit && f.digits < maxChunkDigits:
		f.remaining = f.remaining<<4 | digit
		f.digits++
	case b == '\n' && f.digits > 0:
		f.endSizeLine()
	case f.digits > 0 && !isDigit:
		f.state = chunkExtension
	default:
		f.state, f.remaining = fixedLength, math.MaxInt64
	}
}

// endSizeLine begins the chunk's data, or the trailer after the last chunk.
func (f *bodyFramer) endSizeLine() {
	if f.state = chunkData; f.remaining == 0 {
		f.state = trailerStart
	}
}

func hexValue(b byte) (value int64, ok bool) {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0'), true
	case 'a' <= b|0x20 && b|0x20 <= 'f':
		return int64(b|0x20-'a') + 10, true
	}
	return 0, false
}
