package outcome

import (
	"testing"
	"time"
)

func TestClassification(t *testing.T) {
	const objective = time.Second
	for _, tt := range []struct {
		status int
		took   time.Duration
		want   Outcome
		label  string
	}{
		{200, objective, InTime, "served"},
		{200, objective + 1, Late, "served"},
		{503, 2 * objective, Refused, "refused"},
		{429, 0, Refused, "refused"},
		{502, 0, Failed, "failed"},
		{504, 2 * objective, Failed, "failed"},
		{409, 0, Failed, "failed"},
	} {
		if got := Of(tt.status, tt.took, objective); got != tt.want || got.Label() != tt.label {
			t.Errorf("status %d after %v: got %v %q, want %v %q", tt.status, tt.took, got, got.Label(), tt.want, tt.label)
		}
	}
	if got := ClientDisconnected.Label(); got != "left" {
		t.Errorf("label %q, want left", got)
	}
}
