package client

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

// establishedAfter is the time that a watch has to stay open before its heartbeats prove that nothing has changed: two
// heartbeats and a second. A watch that ends sooner may have ended instead of delivering a change.
const establishedAfter = 5 * time.Second

// ListLoss describes how a call for the list failed, or how a watch ended.
type ListLoss struct {
	FullList     bool // the call was for the full list; otherwise it was a watch
	Opened       bool // the watch was accepted
	Established  bool // the list was complete until the last message of the watch
	Unproven     bool // heartbeats alone say so, as they did of the watch before
	Unresponsive bool // nothing arrived before the timeout
	Reached      bool // the service was reached, and rejected or aborted the call
	AddrsChanged bool // the addresses have changed, and nothing has arrived from the new ones
	// SinceLastMessage is the time since the last message, which is an update or a heartbeat.
	SinceLastMessage time.Duration
}

// classifyLoss describes how a call failed or a watch ended, given its result.
func classifyLoss(result callResult, addrsChanged bool, sinceLastMessage time.Duration) ListLoss {
	err := result.err
	var network *net.OpError
	dialFailed := errors.As(err, &network) && network.Op == "dial"
	unresponsive := errors.Is(err, errUnresponsive) || errors.Is(err, os.ErrDeadlineExceeded)
	return ListLoss{
		FullList:         result.fullList,
		Opened:           result.opened,
		Established:      result.established(),
		Unproven:         result.unproven,
		Unresponsive:     unresponsive,
		Reached:          !dialFailed && !unresponsive,
		AddrsChanged:     addrsChanged,
		SinceLastMessage: sinceLastMessage,
	}
}

var (
	// errUnresponsive ends a watch or a call on which nothing arrives before the timeout.
	errUnresponsive = errors.New("no message within " + watchTimeout.String())
	// errGap means that an update was missed or is malformed: the full list is needed.
	errGap = errors.New("gap in the list")
	// errUpdateTooLong means that an update exceeds maxUpdateBytes.
	errUpdateTooLong = fmt.Errorf("%w: update exceeds %d bytes", errGap, maxUpdateBytes)
	// errStale means that the replica's list is stale: another replica may have a later one.
	errStale = errors.New("the replica's list is stale")
	// errAddrsChanged ends a watch when the addresses of the service change.
	errAddrsChanged = errors.New("addresses changed")
	// errSuperseded ends a watch when the owner requests the full list.
	errSuperseded = errors.New("the full list is requested")
)
