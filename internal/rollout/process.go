package rollout

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// ProcessStartTicks is when a process of this machine was started, by the kernel's count; 0
// where there is none of that id. A later process of the id has another.
func ProcessStartTicks(pid int) uint64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The name in parentheses may hold anything; the fields after it are plain.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	const state, started = 0, 19 // of the fields after the name
	if len(fields) <= started || fields[state] == "Z" || fields[state] == "X" {
		return 0 // it has ended, though nobody has waited for it yet
	}
	n, _ := strconv.ParseUint(fields[started], 10, 64)
	return n
}

// ProcessGone says whether the process of a seat on this machine has ended for sure. Where the
// processes of the machine cannot be seen at all, none has.
func (s RosterMember) ProcessGone(machine string) bool {
	return s.Process.Machine == machine && machine != "" && s.Process.PID > 0 && s.Process.StartTicks > 0 &&
		ProcessStartTicks(os.Getpid()) != 0 && ProcessStartTicks(s.Process.PID) != s.Process.StartTicks
}

// Process is where a sidecar's process is, for a keeper on the same machine: it can see
// when the process has gone.
type Process struct {
	Machine    string `json:"machine"`
	PID        int    `json:"pid"`
	StartTicks uint64 `json:"started"` // by the kernel's count: no two processes of one id have the same
}
