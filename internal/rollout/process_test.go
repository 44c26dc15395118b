package rollout

import (
	"os"
	"os/exec"
	"testing"
)

func TestGone(t *testing.T) {
	cmd := exec.Command("sleep", "1000")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	seat := RosterMember{Process: Process{"m", cmd.Process.Pid, ProcessStartTicks(cmd.Process.Pid)}}
	if seat.ProcessGone("m") || seat.Process.StartTicks == 0 {
		t.Errorf("a process that lives has gone: %+v", seat.Process)
	}
	cmd.Process.Kill()
	cmd.Wait()
	if !seat.ProcessGone("m") || seat.ProcessGone("other") {
		t.Errorf("gone here: %v, on another machine: %v", seat.ProcessGone("m"), seat.ProcessGone("other"))
	}
	other := RosterMember{Process: Process{"m", os.Getpid(), 1}} // its id is another process's by now
	if !other.ProcessGone("m") || (RosterMember{}).ProcessGone("") {
		t.Error("a process whose id another has lives on, or one that is nowhere has gone")
	}
}
