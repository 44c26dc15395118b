package rollout

import (
	"maps"
	"slices"
)

// View is what a member is to act by.
type View struct {
	Version      uint64    `json:"version"`
	Epoch        uint64    `json:"epoch"` // of the policy in force; 0: none, its own configuration counts
	Stage        Stage     `json:"stage"`
	Document     *Document `json:"document,omitempty"` // in force
	ChangeNumber uint64    `json:"number,omitempty"`   // of the change under way
	NextDocument *Document `json:"next,omitempty"`     // what it would put in force
	InRoster     bool      `json:"seated"`             // the member has a seat
	ReportCounts bool      `json:"report,omitempty"`   // it is to report its counts from time to time
}

// View returns what a member is to act by.
func (s *State) View(m Member) View {
	v := View{Version: s.version, Epoch: s.epoch, Stage: s.stage}
	if s.epoch != 0 {
		doc := s.document
		v.Document = &doc
	}
	if s.change != nil {
		v.ChangeNumber = s.change.Number
		if s.stage != StageCommitted {
			doc := s.change.Document
			v.NextDocument = &doc
		}
	}
	seat := s.roster[m.Name]
	v.InRoster = seat != nil && seat.Incarnation == m.Incarnation
	v.Stage, v.ReportCounts = s.stageOf(m.Name), s.stage == StageCanary
	return v
}

// Status is how everything stands, for operators and the leader.
type Status struct {
	Version    uint64         `json:"version"`
	Epoch      uint64         `json:"epoch"`
	Stage      Stage          `json:"stage"`
	Document   *Document      `json:"document,omitempty"`
	Checksum   string         `json:"sum,omitempty"`
	Change     *Change        `json:"change,omitempty"`
	WaitingFor []string       `json:"waits,omitempty"` // who has not confirmed the stage
	Roster     []RosterMember `json:"roster"`
	History    []HistoryEntry `json:"history"`
}

// Status returns how everything stands.
func (s *State) Status() Status {
	c := s.Clone()
	st := Status{Version: c.version, Epoch: c.epoch, Stage: c.stage, Change: c.change, WaitingFor: c.waitingFor(), History: c.history, Roster: []RosterMember{}}
	if c.epoch != 0 {
		st.Document, st.Checksum = &c.document, c.document.Checksum()
	}
	for _, name := range slices.Sorted(maps.Keys(c.roster)) {
		st.Roster = append(st.Roster, *c.roster[name])
	}
	return st
}
