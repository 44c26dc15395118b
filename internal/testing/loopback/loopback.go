// Package loopback picks addresses for processes that a test starts.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
)

// hostsPerByte is how many values of one byte of a loopback address are used.
const hostsPerByte = 250

// picked counts the addresses that were picked.
var pickedAddrs atomic.Int64

// checkSystem has package os find out what the system can do, for which it forks once without
// ForkLock.
var probeOSSupport = sync.OnceFunc(func() {
	if self, err := os.FindProcess(os.Getpid()); err == nil {
		_ = self.Release() // it was found for the check alone
	}
})

// FreeAddr returns an address on which nothing listens. Its host is of its own among those of
// the loopback, so no port that the system gives a connection or another listener meanwhile is
// in its way, as little as when a process starts again there. No process is started while it
// listens: between fork and exec that one would listen, too, and go on when this one has ended.
func FreeAddr() (string, error) {
	probeOSSupport()
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	n := pickedAddrs.Add(1)
	host := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%hostsPerByte, 1+n/hostsPerByte, 1+n%hostsPerByte)
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", fmt.Errorf("pick an address: %w", err)
	}
	return ln.Addr().String(), ln.Close()
}
