package loopback

import (
	"context"
	"net"
	"os/exec"
	"sync"
	"testing"
)

// Guards against a process that cannot listen on the address picked for it (`bind: address already in use`),
// so that its test times out. FreeAddr listens on the address for a moment. A process that is forked at
// that time inherits the listener until its exec, which takes longer under load. The test starts processes
// all the time, and listens on each address as soon as it was picked.
func TestPickedAddressIsFree(t *testing.T) {
	const addresses, starters = 2000, 4
	ctx, cancel := context.WithCancel(t.Context())
	var starting sync.WaitGroup
	for range starters {
		starting.Go(func() {
			for ctx.Err() == nil {
				if err := exec.Command("true").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	defer starting.Wait()
	defer cancel()
	taken := 0
	for range addresses {
		address, err := FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		ln, err := net.Listen("tcp", address)
		if err != nil {
			taken++
			continue
		}
		ln.Close()
	}
	if taken > 0 {
		t.Errorf("%d of %d picked addresses were in use, want none", taken, addresses)
	}
}
