package client

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

// ListLoss says how a call for the list failed, or how a watch ended.
type ListLoss struct {
	Unresponsive bool // nothing arrived for a while
	Reached      bool // the service was there, and refused the call or broke it off
	Moved        bool // the addresses have changed, and nothing has arrived from the new ones
	// SinceLastMessage is how long ago the last message arrived: an update or a heartbeat.
	SinceLastMessage time.Duration
}

// lossOf returns how a call failed or a watch ended, by its error.
func lossOf(err error, moved bool, sinceLastMessage time.Duration) ListLoss {
	var network *net.OpError
	refused := errors.As(err, &network) && network.Op == "dial"
	unresponsive := errors.Is(err, errUnresponsive) || errors.Is(err, os.ErrDeadlineExceeded)
	return ListLoss{
		Unresponsive:     unresponsive,
		Reached:          !refused && !unresponsive,
		Moved:            moved,
		SinceLastMessage: sinceLastMessage,
	}
}

var (
	// errUnresponsive ends a watch or a call on which nothing arrives any more.
	errUnresponsive = errors.New("no message within " + watchTimeout.String())
	// errGap says that an update was missed or cannot be read: the full list is needed.
	errGap = errors.New("gap in the list")
	// errUpdateTooLong says that an update is longer than any list is.
	errUpdateTooLong = fmt.Errorf("%w: over %d bytes", errGap, maxUpdateBytes)
	// errStale says that the replica's list is stale: another one may know more.
	errStale = errors.New("the replica's list is stale")
	// errAddrsChanged ends a watch at addresses that are no longer the service's.
	errAddrsChanged = errors.New("addresses changed")
)
