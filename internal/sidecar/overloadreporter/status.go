package overloadreporter

import (
	"fmt"
	"time"

	"barleywick/internal/overload"
)

// Status is the state of a sidecar's exchange with the overload controller.
type Status struct {
	Advice    overload.Advice // the last advice received
	Age       time.Duration   // of the advice; 0: none received yet
	LastError error           // of the last exchange; nil if it succeeded
}

// Status returns the current status.
func (r *Reporter) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Status{Advice: r.advice, LastError: r.lastError}
	if !r.receivedAt.IsZero() {
		s.Age = max(1, time.Since(r.receivedAt))
	}
	return s
}

// InForce reports whether there is advice that has not expired.
func (s Status) InForce() bool { return s.Age > 0 && s.Age < overload.AdviceTTL }

// String returns the text of /health/overload. Programs parse it, so the wording must not change.
func (s Status) String() string {
	text := "no word yet"
	if s.Age > 0 {
		text = fmt.Sprintf("word %d under token %d, %.1f s ago", s.Advice.Number, s.Advice.Token, s.Age.Seconds())
		if !s.InForce() {
			text += ", it counts no more"
		}
		for _, t := range s.Advice.Tenants {
			if t.AdmitFraction < 1 {
				text += fmt.Sprintf(", %s %.3f", t.Tenant, t.AdmitFraction)
			}
		}
	}
	if s.LastError != nil {
		text += "; " + s.LastError.Error()
	}
	return text
}
