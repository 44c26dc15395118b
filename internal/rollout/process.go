package rollout

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Process identifies a sidecar's process to a controller on the same machine, which can
// see when it has ended.
type Process struct {
	Machine    string `json:"machine"`
	PID        int    `json:"pid"`
	StartTicks uint64 `json:"started"` // by the kernel's count: a later process of the same id has another
}

// Fields of /proc/PID/stat after the name in parentheses.
const (
	statState     = 0
	statStartTime = 19
)

// ProcessStartTicks returns when a process of this machine started, by the kernel's count,
// or 0 if there is none of that id or it has ended and nobody has waited for it yet.
func ProcessStartTicks(pid int) uint64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The name in parentheses may hold anything; the fields after it are plain.
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

// ProcessGone reports whether the member's process ran on this machine and has certainly
// ended. It reports false if the machine's processes cannot be seen at all.
func (m RosterMember) ProcessGone(machine string) bool {
	p := m.Process
	if machine == "" || p.Machine != machine || p.PID <= 0 || p.StartTicks == 0 {
		return false
	}
	if ProcessStartTicks(os.Getpid()) == 0 {
		return false
	}
	return ProcessStartTicks(p.PID) != p.StartTicks
}
