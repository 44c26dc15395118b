package rollout

import (
	"os"
	"os/exec"
	"testing"
)

func TestProcessEnded(t *testing.T) {
	cmd := exec.Command("sleep", "1000")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	m := RosterMember{Process: Process{"m", cmd.Process.Pid, ProcessStartTicks(cmd.Process.Pid)}}
	if m.ProcessEnded("m") || m.Process.StartTicks == 0 {
		t.Errorf("a running process: got ended %v for %+v", m.ProcessEnded("m"), m.Process)
	}
	cmd.Process.Kill()
	cmd.Wait()
	if !m.ProcessEnded("m") || m.ProcessEnded("other") {
		t.Errorf("an ended process: got ended %v here, %v on another machine, want true, false", m.ProcessEnded("m"), m.ProcessEnded("other"))
	}
	reused := RosterMember{Process: Process{"m", os.Getpid(), 1}} // another process has this PID now
	if !reused.ProcessEnded("m") {
		t.Error("a process whose PID another one has: got not gone, want gone")
	}
	if (RosterMember{}).ProcessEnded("") {
		t.Error("a member without a process: got gone, want not gone")
	}
}
