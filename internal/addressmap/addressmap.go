// Package addressmap replaces addresses when dialing, for sites that reach a service through a forwarder
// and for tests that reach it through fault-injecting relays.
package addressmap

import (
	"context"
	"fmt"
	"net"
	"time"
)

// Map maps an address to the address to dial instead.
type Map map[string]string

// Check returns an error if an address has no port.
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

// Lookup returns the address to dial for an address: the address itself if the map does not contain it.
func (m Map) Lookup(address string) string {
	if to, ok := m[address]; ok {
		return to
	}
	return address
}

// Dialer returns a dial function that uses the map, with a timeout for each connection. With a timeout of
// 0 only the context limits it.
func (m Map) Dialer(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: timeout, KeepAlive: -1}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return d.DialContext(ctx, network, m.Lookup(address))
	}
}
