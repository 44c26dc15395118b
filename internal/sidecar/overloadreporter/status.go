package overloadreporter

import (
	"fmt"
	"time"

	"barleywick/internal/overload"
)

// Status is how a sidecar stands towards overload advice.
type Status struct {
	Advice    overload.Advice // the last that came
	Age       time.Duration   // of the advice; 0: none came yet
	LastError error           // why the last exchange failed; nil: it succeeded
}

// Status returns how the sidecar stands now.
func (r *Reporter) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Status{Advice: r.advice, LastError: r.lastError}
	if !r.receivedAt.IsZero() {
		s.Age = max(1, time.Since(r.receivedAt))
	}
	return s
}

// InForce says whether the advice is in force.
func (s Status) InForce() bool { return s.Age > 0 && s.Age < overload.AdviceTTL }

// String is the text of /health/overload, which programs read: its words stay.
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
