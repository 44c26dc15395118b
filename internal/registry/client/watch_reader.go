package client

import (
	"bytes"
	"fmt"
	"io"
)

// watchReader reads the body of a watch. An update may span several lines and arrive in
// pieces; between updates there are empty lines. Both count as heartbeats. Empty lines
// inside an unfinished update do not, so that a watch that stalls in the middle of an
// update times out and is opened again.
type watchReader struct {
	body      io.Reader
	inUpdate  bool // an update has begun
	bytesLeft int  // number of bytes that the update may still have
	// onHeartbeat is called for each heartbeat; idle reports that it was an empty line
	// between updates.
	onHeartbeat func(idle bool)
}

// Read reads from the body and reports heartbeats.
func (r *watchReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if n == 0 {
		return n, err
	}
	blank := len(bytes.TrimSpace(b[:n])) == 0
	if !blank {
		if r.bytesLeft -= n; r.bytesLeft < 0 {
			return 0, errUpdateTooLong
		}
		r.inUpdate = true
	}
	if !blank || !r.inUpdate {
		r.onHeartbeat(blank)
	}
	return n, err
}

// endUpdate records that an update is complete. The bytes buffered after it belong to the
// next update.
func (r *watchReader) endUpdate(buffered io.Reader) error {
	next, err := io.ReadAll(buffered)
	if err != nil {
		return fmt.Errorf("read watch: %w", err)
	}
	r.inUpdate = len(bytes.TrimSpace(next)) > 0
	r.bytesLeft = maxUpdateBytes - len(next)
	return nil
}
