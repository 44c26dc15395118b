package rollout

import (
	"maps"
	"slices"
)

// View is the state of the policy for one member, which has to apply it.
type View struct {
	Version      uint64    `json:"version"`
	Epoch        uint64    `json:"epoch"` // of the policy in force; 0: there is none, the member applies its own configuration
	Stage        Stage     `json:"stage"` // for this member
	Document     *Document `json:"document,omitempty"`
	ChangeNumber uint64    `json:"number,omitempty"`
	NextDocument *Document `json:"next,omitempty"` // of the change, before it is committed
	InRoster     bool      `json:"seated"`
	ReportCounts bool      `json:"report,omitempty"` // the member has to report its counts from time to time
}

// View returns the view of a member.
func (s *State) View(m Member) View {
	current := s.roster[m.Name]
	v := View{
		Version: s.version, Epoch: s.epoch, Stage: s.stageOf(m.Name),
		InRoster:     current != nil && current.Incarnation == m.Incarnation,
		ReportCounts: s.stage == StageCanary,
	}
	if s.epoch != 0 {
		document := s.document
		v.Document = &document
	}
	if s.change != nil {
		v.ChangeNumber = s.change.Number
		if s.stage != StageCommitted {
			next := s.change.Document
			v.NextDocument = &next
		}
	}
	return v
}

// Status is the whole state, for operators and the leader.
type Status struct {
	Version    uint64         `json:"version"`
	Epoch      uint64         `json:"epoch"`
	Stage      Stage          `json:"stage"`
	Document   *Document      `json:"document,omitempty"`
	Checksum   string         `json:"sum,omitempty"`
	Change     *Change        `json:"change,omitempty"`
	WaitingFor []string       `json:"waits,omitempty"` // members that have not acknowledged the stage
	Roster     []RosterMember `json:"roster"`
	History    []HistoryEntry `json:"history"`
}

// Status returns the whole state.
func (s *State) Status() Status {
	c := s.Clone()
	status := Status{
		Version: c.version, Epoch: c.epoch, Stage: c.stage, Change: c.change,
		WaitingFor: c.waitingFor(), Roster: []RosterMember{}, History: c.history,
	}
	if c.epoch != 0 {
		status.Document, status.Checksum = &c.document, c.document.Checksum()
	}
	for _, name := range slices.Sorted(maps.Keys(c.roster)) {
		status.Roster = append(status.Roster, *c.roster[name])
	}
	return status
}
