package rollout

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Process identifies a sidecar's process to a controller on the same machine, which can
// observe its end.
type Process struct {
	Machine    string `json:"machine"`
	PID        int    `json:"pid"`
	StartTicks uint64 `json:"started"` // start time by the kernel; differs for a later process with the same PID
}

// Fields of /proc/PID/stat after the name in parentheses.
const (
	statState     = 0
	statStartTime = 19
)

// ProcessStartTicks returns the start time of a process of this machine, in the kernel's clock
// ticks, or 0 if there is no process with that id or it has exited and was not yet reaped.
func ProcessStartTicks(pid int) uint64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The name in parentheses may contain any character, also spaces and parentheses.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) <= statStartTime || fields[statState] == "Z" || fields[statState] == "X" {
		return 0
	}
	ticks, err := strconv.ParseUint(fields[statStartTime], 10, 64)
	if err != nil {
		return 0
	}
	return ticks
}

// ProcessEnded reports whether the member's process ran on this machine and has certainly
// ended. It reports false if the machine's processes cannot be observed at all.
func (m RosterMember) ProcessEnded(machine string) bool {
	p := m.Process
	if machine == "" || p.Machine != machine || p.PID <= 0 || p.StartTicks == 0 {
		return false
	}
	if ProcessStartTicks(os.Getpid()) == 0 {
		return false
	}
	return ProcessStartTicks(p.PID) != p.StartTicks
}
