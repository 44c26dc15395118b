// Package addressmap sends calls to an address over another one, where the way there leads
// over something: a forwarder of the site's, or the rig of faults between processes.
package addressmap

import (
	"context"
	"fmt"
	"net"
	"time"
)

// Table is where to call instead, by address.
type Table map[string]string

// Check says in one line what is wrong.
func (t Table) Check() error {
	for from, to := range t {
		for _, a := range []string{from, to} {
			if _, _, err := net.SplitHostPort(a); err != nil {
				return fmt.Errorf("%.64q is not an address with a port", a)
			}
		}
	}
	return nil
}

// To is where to call for an address.
func (t Table) To(address string) string {
	if to, ok := t[address]; ok {
		return to
	}
	return address
}

// Dial makes a function that opens connections by the table, each within a time; 0:
// as long as its context lasts.
func (t Table) Dial(within time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: within, KeepAlive: -1}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return d.DialContext(ctx, network, t.To(address))
	}
}
