package lease

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// BootTime reads the boot-time clock, which neither steps nor stops while the machine
// sleeps: a holder that was suspended must see the time that has passed.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(fmt.Sprintf("lease: no clock: %v", err)) // no lease can be held safely without one
	}
	return time.Duration(t.Nano())
}
