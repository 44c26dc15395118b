package drain

import (
	"fmt"
	"strings"
)

// EventKind is what an Event reports.
type EventKind int

// The kinds of events.
const (
	EventClaimed EventKind = iota // the drain was claimed, and begins or goes on at Step
	EventStep                     // the drain has come to Step
	EventWaiting                  // the drain waits for what Note says
	EventNoted                    // another process has noted in the record what Note says
	EventUndone                   // the drain was undone
)

// Event is the progress of a drain.
type Event struct {
	Kind    EventKind
	Machine string
	Step    Step
	Hosts   []string // of EventClaimed and EventUndone: the machine's servers
	Note    string   // of EventWaiting and EventNoted
}

// String is the event as a line for the operator.
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
