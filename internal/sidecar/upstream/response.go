package upstream

import (
	"context"
	"errors"
	"fmt"
	"net/http"
)

// Limits on the bytes read for one response. Servers send bodies of several times the size given in the
// protocol: ResponseMemory bounds their sum.
const (
	maxResponseHead = 128 << 10 // including the heads of informational responses
	MaxResponseBody = 1 << 20
	maxResponseWire = 2 * MaxResponseBody // including chunk framing
)

// maxInformational is how many informational responses are skipped before the final one.
const maxInformational = 5

var errUncertainLength = errors.New("chunked response may also have a Content-Length")

// readResponse reads one complete response. The memory of its body is held by hold.
func (b *exchangeBuffers) readResponse(ctx context.Context, req *http.Request, hold *responseHold) (resp *http.Response, body []byte, err error) {
	informational := 0
	for ; ; informational++ {
		b.lines.expectHead()
		if resp, err = http.ReadResponse(b.reader, req); err != nil {
			return nil, nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			break
		}
		if informational == maxInformational || resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, nil, fmt.Errorf("unexpected informational status %d", resp.StatusCode)
		}
	}
	if len(resp.TransferEncoding) > 0 && !b.head.ChunkedWithoutLength(informational+1) {
		return nil, nil, errUncertainLength
	}
	b.limited.N = maxResponseWire
	// The body is not closed, since Close would continue to read a body that is too large. If the body was
	// not read completely, the connection is closed.
	body, err = hold.readBody(ctx, resp)
	return resp, body, err
}

// prepareNextResponse resets the limit and the recorded head for another response on the connection.
func (b *exchangeBuffers) prepareNextResponse() {
	b.limited.N = maxResponseHead
	b.head.Reset()
}
