package client

import (
	"bytes"
	"fmt"
	"io"
)

// watchReader reads the body of a watch. An update may stand on one line or on several,
// and arrive in pieces; between updates there are empty lines. Both are signs that the
// watch is alive. An empty line inside an update that does not go on is not: a watch that
// stops in the middle of an update would never be opened again.
type watchReader struct {
	body     io.Reader
	inUpdate bool // an update has begun
	budget   int  // bytes that the update may still have
	// onHeartbeat is called for each sign of life; idle says that it was an empty line
	// between updates.
	onHeartbeat func(idle bool)
}

// Read reads from the body and reports signs of life.
func (r *watchReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if n == 0 {
		return n, err
	}
	blank := len(bytes.TrimSpace(b[:n])) == 0
	if !blank {
		if r.budget -= n; r.budget < 0 {
			return 0, errUpdateTooLong
		}
		r.inUpdate = true
	}
	if !blank || !r.inUpdate {
		r.onHeartbeat(blank)
	}
	return n, err
}

// updateDone says that an update is complete. What was read beyond it belongs to the next.
func (r *watchReader) updateDone(beyond io.Reader) error {
	rest, err := io.ReadAll(beyond)
	if err != nil {
		return fmt.Errorf("read watch: %w", err)
	}
	r.inUpdate = len(bytes.TrimSpace(rest)) > 0
	r.budget = maxUpdateBytes - len(rest)
	return nil
}
