package client

import (
	"bytes"
	"io"
)

// watchReader reads a watch. A listing may stand on one line or on several and come in pieces;
// between listings empty lines come. Both are signs of life, but an empty line in a listing
// that does not go on is none: a watch that ends in the middle would never be opened again.
type watchReader struct {
	body        io.Reader
	inUpdate    bool            // a listing has begun
	budget      int             // what it may still bring
	onHeartbeat func(idle bool) // takes a sign of life; idle: an empty line between listings
}

func (p *watchReader) Read(b []byte) (int, error) {
	n, err := p.body.Read(b)
	if n == 0 {
		return n, err
	}
	blank := len(bytes.TrimSpace(b[:n])) == 0
	if !blank {
		if p.budget -= n; p.budget < 0 {
			return 0, errUpdateTooLong
		}
		p.inUpdate = true
	}
	if !blank || !p.inUpdate {
		p.onHeartbeat(blank)
	}
	return n, err
}

// updateDone takes that a listing is whole, and what was read behind it.
func (p *watchReader) updateDone(behind io.Reader) {
	rest, _ := io.ReadAll(behind) // it is in memory
	p.inUpdate = len(bytes.TrimSpace(rest)) > 0
	p.budget = maxUpdateBytes - len(rest)
}
