package lease

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// BootTime reads the boot-time clock, which never steps and continues while the machine is
// suspended: a holder that was suspended must see the time that has passed.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(fmt.Sprintf("lease: cannot read CLOCK_BOOTTIME: %v", err)) // no lease can be held safely without one
	}
	return time.Duration(t.Nano())
}
