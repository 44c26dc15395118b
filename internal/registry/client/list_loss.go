package client

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

// ListLoss is how a call failed or a watch ended.
type ListLoss struct {
	Unresponsive bool // nothing was heard for a while
	Reached      bool // discovery was there, and turned the call away or broke it off
	Moved        bool // discovery has moved, and was not heard since
	// SinceLastMessage is how long ago the last word came, a list or a sign of life.
	SinceLastMessage time.Duration
}

// lossOf tells from its error how a call failed.
func lossOf(err error, moved bool) ListLoss {
	var network *net.OpError
	refused := errors.As(err, &network) && network.Op == "dial"
	silent := errors.Is(err, errUnresponsive) || errors.Is(err, os.ErrDeadlineExceeded)
	return ListLoss{Unresponsive: silent, Reached: !refused && !silent, Moved: moved}
}

// errUnresponsive ends a watch or a call on which nothing comes any more.
var errUnresponsive = errors.New("silent")

// errGap says that a change was missed or could not be read: only the whole list helps.
var errGap = errors.New("gap in the list")

// errStale says that another replica may know more.
var errStale = errors.New("the replica has no leader")

// errUpdateTooLong says that a listing is longer than any that there is.
var errUpdateTooLong = fmt.Errorf("%w: over %d bytes", errGap, maxUpdateBytes)

// errAddrsChanged ends a watch at addresses that are not discovery's any more.
var errAddrsChanged = errors.New("discovery has moved")
