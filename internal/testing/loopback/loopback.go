// Package loopback picks listen addresses for processes that a test starts.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
)

// hostsPerByte is how many values are used of each variable byte of a loopback address.
const hostsPerByte = 250

// pickedAddrs counts the addresses that were picked.
var pickedAddrs atomic.Int64

// probeOSSupport makes package os probe what the kernel supports. The probe forks once without holding
// ForkLock.
var probeOSSupport = sync.OnceFunc(func() {
	if self, err := os.FindProcess(os.Getpid()); err == nil {
		_ = self.Release() // the process was looked up only for the probe
	}
})

// FreeAddr returns an address on which nothing listens. Each call uses a loopback host of its own, so an
// ephemeral port that the kernel later assigns to a connection or to another listener does not conflict
// with the address, even while a process is being restarted on it. FreeAddr listens briefly and holds
// ForkLock while it does: a process that was forked then would inherit the listener until its exec, and
// keep the address in use after FreeAddr has closed it.
func FreeAddr() (string, error) {
	probeOSSupport()
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	n := pickedAddrs.Add(1)
	host := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%hostsPerByte, 1+n/hostsPerByte, 1+n%hostsPerByte)
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", fmt.Errorf("pick a loopback address: %w", err)
	}
	return ln.Addr().String(), ln.Close()
}
