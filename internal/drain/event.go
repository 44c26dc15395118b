package drain

import (
	"fmt"
	"strings"
)

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events.
const (
	EventClaimed EventKind = iota // the drain was claimed, and starts or resumes at Step
	EventStep                     // the drain has reached Step
	EventWaiting                  // the drain is waiting; Note describes what for
	EventNoted                    // another process has written Note to the record
	EventUndone                   // the drain was undone
)

// Event reports the progress of a drain.
type Event struct {
	Kind    EventKind
	Machine string
	Step    Step
	Hosts   []string // of EventClaimed and EventUndone: the machine's servers
	Note    string   // of EventWaiting and EventNoted
}

// String returns the event as a line for the operator.
func (e Event) String() string {
	switch e.Kind {
	case EventClaimed:
		return fmt.Sprintf("%s: %s, servers %s", e.Machine, e.Step, strings.Join(e.Hosts, ", "))
	case EventWaiting:
		return fmt.Sprintf("%s: %s", e.Machine, e.Note)
	case EventNoted:
		return fmt.Sprintf("%s: %s, %s", e.Machine, e.Step, e.Note)
	case EventUndone:
		return fmt.Sprintf("%s: undone, servers %s", e.Machine, strings.Join(e.Hosts, ", "))
	default:
		return fmt.Sprintf("%s: %s", e.Machine, e.Step)
	}
}
