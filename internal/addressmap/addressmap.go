// Package addressmap dials addresses over other ones, where the way there leads
// through a forwarder of the site, or through relays that inject faults.
package addressmap

import (
	"context"
	"fmt"
	"net"
	"time"
)

// Map holds the address to dial in place of each address.
type Map map[string]string

// Check returns an error where an address has no port.
func (m Map) Check() error {
	for from, to := range m {
		for _, a := range []string{from, to} {
			if _, _, err := net.SplitHostPort(a); err != nil {
				return fmt.Errorf("%.64q is not an address with a port", a)
			}
		}
	}
	return nil
}

// Lookup returns the address to dial in place of one.
func (m Map) Lookup(address string) string {
	if to, ok := m[address]; ok {
		return to
	}
	return address
}

// Dialer returns a dial function that uses the map, with a timeout for each connection; 0:
// the context alone bounds it.
func (m Map) Dialer(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: timeout, KeepAlive: -1}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return d.DialContext(ctx, network, m.Lookup(address))
	}
}
