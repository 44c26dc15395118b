package loopback

import (
	"context"
	"net"
	"os/exec"
	"sync"
	"testing"
)

// What happens: a process of a test cannot listen at the address that was picked for it,
// `bind: address already in use`, and the test waits for it in vain. Why: the address was picked
// by listening on it for a moment, while another process was being started. Between fork and
// exec that one has all descriptors of the test, the listener too, and beside load it takes a
// while to come to exec. Forced: processes are started all the while, and each address that is
// picked is listened on at once.
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
		t.Errorf("%d of %d addresses could not be listened on", taken, addresses)
	}
}
