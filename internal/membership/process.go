package membership

import (
	"barleywick/internal/rollout"
	"hash/fnv"
	"os"
	"strconv"
)

// CurrentProcess is the machine and process that this is, for members that share its processes:
// its kernel's boot and its space of process ids. Empty where that cannot be read.
func CurrentProcess() (machine string, pid int, started uint64) {
	boot, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return "", 0, 0
	}
	space, err := os.Readlink("/proc/self/ns/pid")
	if err != nil {
		return "", 0, 0
	}
	h := fnv.New64a()
	h.Write(boot)
	h.Write([]byte(space))
	pid = os.Getpid()
	return strconv.FormatUint(h.Sum64(), 36), pid, rollout.ProcessStartTicks(pid)
}
