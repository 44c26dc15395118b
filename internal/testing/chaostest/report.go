package chaostest

import (
	"fmt"
	"time"
)

// Event is one of the time line: a fault, an operator's action, or what became of a promise.
type Event struct {
	At   time.Duration `json:"at_ns"`
	Kind string        `json:"kind"` // fault, operator, promise, fleet
	Text string        `json:"text"`
}

// Report is what a run came to.
type Report struct {
	Seed       uint64            `json:"seed"`
	Schedule   string            `json:"schedule"`
	Took       time.Duration     `json:"took_ns"`
	Timeline   []Event           `json:"lines"`
	Violations []string          `json:"broken"`         // promises, each in one line
	Counts     map[string]uint64 `json:"saw"`            // what was judged
	Logs       map[string]string `json:"logs,omitempty"` // the ends of logs of those that broke one
}

const (
	// startTimeout and settleIn bound the fleet's start, and its rest after the last fault: a
	// change and a drain have their time-outs within it.
	startTimeout  = time.Minute
	settleTimeout = 90 * time.Second
	pollInterval  = 250 * time.Millisecond
	// maxEvents bounds the time line.
	maxEvents = 100_000
)

// recordEvent adds to the time recordEvent.
func (r *run) recordEvent(kind, format string, args ...any) {
	l := Event{time.Since(r.startedAt).Round(time.Millisecond), kind, fmt.Sprintf(format, args...)}
	r.mu.Lock()
	if len(r.report.Timeline) < maxEvents {
		r.report.Timeline = append(r.report.Timeline, l)
	}
	r.mu.Unlock()
	if r.options.OnEvent != nil {
		r.options.OnEvent(fmt.Sprintf("%9.3f %-8s %s", l.At.Seconds(), l.Kind, l.Text))
	}
}

// violated notes a promise that is violated.
func (r *run) violated(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	r.report.Violations = append(r.report.Violations, text)
	r.mu.Unlock()
	r.recordEvent("promise", "BROKEN: %s", text)
}

// count counts what was judged.
func (r *run) count(what string, n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Counts[what] += n
}

// maxLogTail is how much of a log a report keeps.
const maxLogTail = 64 << 10

// keepLogTail keeps the end of a process's log for the report.
func (r *run) keepLogTail(name string) {
	p := r.Processes[name]
	if p == nil {
		return
	}
	text := p.Output()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.report.Logs == nil {
		r.report.Logs = make(map[string]string)
	}
	r.report.Logs[name] = text[max(0, len(text)-maxLogTail):]
}
