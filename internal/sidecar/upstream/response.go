package upstream

import (
	"errors"
	"fmt"
	"net/http"

	"barleywick/internal/sidecar/httpmessage"
)

// What is read for one response is limited. Servers send bodies of several times the size that the
// protocol names; 1 MiB can be held for each attempt in flight.
const (
	maxResponseHead = 128 << 10 // with the heads of informational responses
	MaxResponseBody = 1 << 20
	maxResponseWire = 2 * MaxResponseBody // the framing of chunks included
)

// maxInformational is how many informational responses are skipped.
const maxInformational = 5

var errUncertainLength = errors.New("a chunked response that may have a Content-Length too")

// readResponse reads one complete response.
func (b *exchangeBuffers) readResponse(req *http.Request) (resp *http.Response, body []byte, err error) {
	informational := 0
	for ; ; informational++ {
		if resp, err = http.ReadResponse(b.reader, req); err != nil {
			return nil, nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			break
		}
		if informational == maxInformational || resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, nil, fmt.Errorf("unexpected status %d", resp.StatusCode)
		}
	}
	if len(resp.TransferEncoding) > 0 && !b.head.ChunkedWithoutLength(informational+1) {
		return nil, nil, errUncertainLength
	}
	b.limited.N = maxResponseWire
	// The body is not closed: that would read on in one that is too large. A body that was not read to
	// its end ends with its connection.
	body, err = readResponseBody(resp)
	return resp, body, err
}

// nextResponse prepares to read another response on the same connection.
func (b *exchangeBuffers) nextResponse() {
	b.limited.N = maxResponseHead
	b.head.Reset()
}

// readResponseBody reads a body if it proves to be complete: by its length, by its last chunk, or, if
// it has neither, by the orderly close of its connection. A reset and the limit are no end.
func readResponseBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > MaxResponseBody {
		return nil, httpmessage.ErrTooLarge
	}
	if resp.ContentLength >= 0 {
		return httpmessage.ReadExactly(resp.Body, resp.ContentLength)
	}
	return httpmessage.ReadToEnd(resp.Body, MaxResponseBody)
}
