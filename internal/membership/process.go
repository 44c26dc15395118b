package membership

import (
	"hash/fnv"
	"os"
	"strconv"

	"barleywick/internal/rollout"
)

// CurrentProcess identifies this process to members that see the same processes: a hash of
// its kernel's boot ID and its PID namespace, its PID, and its start time. All are zero if
// the kernel does not provide them.
func CurrentProcess() (machineID string, pid int, processStart uint64) {
	bootID, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return "", 0, 0
	}
	namespace, err := os.Readlink("/proc/self/ns/pid")
	if err != nil {
		return "", 0, 0
	}
	hash := fnv.New64a()
	hash.Write(bootID)
	hash.Write([]byte(namespace))
	pid = os.Getpid()
	return strconv.FormatUint(hash.Sum64(), 36), pid, rollout.ProcessStartTicks(pid)
}
