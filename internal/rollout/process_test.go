package rollout

import (
	"os"
	"os/exec"
	"testing"
)

func TestProcessGone(t *testing.T) {
	cmd := exec.Command("sleep", "1000")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	m := RosterMember{Process: Process{"m", cmd.Process.Pid, ProcessStartTicks(cmd.Process.Pid)}}
	if m.ProcessGone("m") || m.Process.StartTicks == 0 {
		t.Errorf("a running process: got gone %v for %+v", m.ProcessGone("m"), m.Process)
	}
	cmd.Process.Kill()
	cmd.Wait()
	if !m.ProcessGone("m") || m.ProcessGone("other") {
		t.Errorf("an ended process: got gone %v here, %v on another machine, want true, false", m.ProcessGone("m"), m.ProcessGone("other"))
	}
	reused := RosterMember{Process: Process{"m", os.Getpid(), 1}} // another process has this PID now
	if !reused.ProcessGone("m") {
		t.Error("a process whose PID another one has: got not gone, want gone")
	}
	if (RosterMember{}).ProcessGone("") {
		t.Error("a member without a process: got gone, want not gone")
	}
}
