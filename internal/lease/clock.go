package lease

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// BootTime reads a clock that neither steps nor stops while the machine sleeps: a
// holder that was suspended must not find that no time has passed.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(fmt.Sprintf("lease: no clock: %v", err)) // without one nothing may be held
	}
	return time.Duration(t.Nano())
}
