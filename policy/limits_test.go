package policy

import (
	"os"
	"strings"
	"testing"
	"unicode/utf8"
)

// The main file of the package must stay short enough to be read in one go.
func TestMainFileStaysWithinItsSizeLimits(t *testing.T) {
	const mostLines, mostColumns = 550, 110
	text, err := os.ReadFile("policy.go")
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for n, line := range strings.Split(string(text), "\n") {
		if strings.TrimSpace(line) != "" {
			lines++
		}
		if utf8.RuneCountInString(line) > mostColumns {
			t.Errorf("policy.go: line %d has more than %d characters", n+1, mostColumns)
		}
	}
	if lines > mostLines {
		t.Errorf("policy.go: got %d non-blank lines, want at most %d", lines, mostLines)
	}
	if head, _, _ := strings.Cut(string(text), "\npackage "); !strings.Contains(head, "api.go") {
		t.Error("policy.go: the text before the package clause does not refer to api.go")
	}
}
