package chaostest

import (
	"fmt"
	"strings"
	"time"
)

// EventKind is the category of a timeline event.
type EventKind string

// The kinds of events. Reports contain their values.
const (
	FaultEvent     EventKind = "fault"
	OperatorEvent  EventKind = "operator"
	InvariantEvent EventKind = "promise"
	FleetEvent     EventKind = "fleet"
)

// Event is an event of the timeline: a fault, an operator's action, the result of a check, or
// a stage of the run.
type Event struct {
	At   time.Duration `json:"at_ns"`
	Kind EventKind     `json:"kind"`
	Text string        `json:"text"`
}

// Report is the result of a run.
type Report struct {
	Seed       uint64            `json:"seed"`
	Schedule   string            `json:"schedule"`
	Took       time.Duration     `json:"took_ns"`
	Timeline   []Event           `json:"lines"`
	Violations []string          `json:"broken"`         // one line each
	Counts     map[string]uint64 `json:"saw"`            // what was checked
	Logs       map[string]string `json:"logs,omitempty"` // the end of the log of each process that violated an invariant
}

const (
	// maxEvents bounds the timeline.
	maxEvents = 100_000
	// maxLogTail is how many bytes of a log a report keeps.
	maxLogTail = 64 << 10
)

// recordEvent adds an event to the timeline.
func (r *run) recordEvent(kind EventKind, format string, args ...any) {
	e := Event{time.Since(r.startedAt).Round(time.Millisecond), kind, fmt.Sprintf(format, args...)}
	r.mu.Lock()
	if len(r.report.Timeline) < maxEvents {
		r.report.Timeline = append(r.report.Timeline, e)
	}
	r.mu.Unlock()
	if r.options.OnEvent != nil {
		r.options.OnEvent(fmt.Sprintf("%9.3f %-8s %s", e.At.Seconds(), e.Kind, e.Text))
	}
}

// violated records a violated invariant.
func (r *run) violated(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	r.report.Violations = append(r.report.Violations, text)
	r.mu.Unlock()
	r.recordEvent(InvariantEvent, "BROKEN: %s", text)
}

// count adds n to a counter of the report.
func (r *run) count(what string, n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Counts[what] += n
}

// cutOffMark is in the log line that precedes the stacks of all goroutines, which a process logs when its
// watchdog cuts its shutdown off.
const cutOffMark = "shutdown: cut off"

// logTail returns the end of a log. If the shutdown was cut off it returns the part around that log
// line, as the stacks after it may be long.
func logTail(log string) string {
	end := len(log)
	if at := strings.LastIndex(log, cutOffMark); at >= 0 {
		end = min(end, at+maxLogTail*3/4)
	}
	return log[max(0, end-maxLogTail):end]
}

// keepLogTail adds the end of a process's log to the report.
func (r *run) keepLogTail(name string) {
	p := r.Processes[name]
	if p == nil {
		return
	}
	log := p.Output()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.report.Logs == nil {
		r.report.Logs = make(map[string]string)
	}
	r.report.Logs[name] = logTail(log)
}
