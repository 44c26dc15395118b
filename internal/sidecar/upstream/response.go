package upstream

import (
	"errors"
	"fmt"
	"net/http"

	"barleywick/internal/sidecar/httpmessage"
)

// Limits on the bytes read for one response. Servers send bodies of several times the size given in the
// protocol; there is enough memory for 1 MiB per attempt in flight.
const (
	maxResponseHead = 128 << 10 // including the heads of informational responses
	MaxResponseBody = 1 << 20
	maxResponseWire = 2 * MaxResponseBody // including chunk framing
)

// maxInformational is how many informational responses are skipped before the final one.
const maxInformational = 5

var errUncertainLength = errors.New("chunked response may also have a Content-Length")

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
			return nil, nil, fmt.Errorf("unexpected informational status %d", resp.StatusCode)
		}
	}
	if len(resp.TransferEncoding) > 0 && !b.head.ChunkedWithoutLength(informational+1) {
		return nil, nil, errUncertainLength
	}
	b.limited.N = maxResponseWire
	// The body is not closed, since Close would continue to read a body that is too large. If the body was
	// not read completely, the connection is closed.
	body, err = readResponseBody(resp)
	return resp, body, err
}

// prepareNextResponse resets the limit and the recorded head for another response on the connection.
func (b *exchangeBuffers) prepareNextResponse() {
	b.limited.N = maxResponseHead
	b.head.Reset()
}

// readResponseBody reads a body and returns an error unless it is complete. The end of the body is given
// by its length, by its last chunk or, without either, by an orderly close of the connection, but not by
// a reset or by reaching the limit.
func readResponseBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > MaxResponseBody {
		return nil, httpmessage.ErrTooLarge
	}
	if resp.ContentLength >= 0 {
		return httpmessage.ReadExactly(resp.Body, resp.ContentLength)
	}
	return httpmessage.ReadToEnd(resp.Body, MaxResponseBody)
}
