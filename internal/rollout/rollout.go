package rollout

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"barleywick/internal/mutation"
)

// Stage is how far a change has come.
type Stage string

// The stages. A change that is aborted goes back to the first at once: who acts by the
// stricter of both takes no more than the old policy allows, however late it hears.
const (
	StageSettled   Stage = "settled"   // one policy, at everybody who is in the roster
	StagePreparing Stage = "preparing" // everybody is to say whether it can
	StageCanary    Stage = "canary"    // a few act by the stricter of both, and are compared with the rest
	StageJoint     Stage = "joint"     // everybody is to act by the stricter of both
	StageCommitted Stage = "committed" // the new one is in force: everybody is to act by it
)

// Member is one sidecar in the roster. Of two with one name the one with the higher
// incarnation started later.
type Member struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// RosterMember is a member's place in the roster, and what it has said.
type RosterMember struct {
	Member
	JoinedMS    int64   `json:"joined_ms"`
	AckedChange uint64  `json:"change,omitempty"` // the change that it spoke of last
	AckedStage  Stage   `json:"said,omitempty"`   // the stage that it confirmed of that
	Process     Process `json:"where,omitzero"`
	// What it reported first and last while a few went ahead with a change.
	ReportedChange uint64        `json:"reported,omitempty"` // the change
	FirstReport    RequestCounts `json:"from,omitzero"`
	LastReport     RequestCounts `json:"to,omitzero"`
}

// Process is where a sidecar's process is, for a keeper on the same machine: it can see
// when the process has gone.
type Process struct {
	Machine    string `json:"machine"`
	PID        int    `json:"pid"`
	StartTicks uint64 `json:"started"` // by the kernel's count: no two processes of one id have the same
}

// RequestCounts are requests since a sidecar's start.
type RequestCounts struct {
	Requests uint64 `json:"asked"`
	Refused  uint64 `json:"refused"`
	Failed   uint64 `json:"failed"`
	Late     uint64 `json:"late"` // answers after their class's aim
}

// Change is a proposed policy on its way.
type Change struct {
	Number     uint64   `json:"number"` // the epoch that it becomes
	Document   Document `json:"document"`
	By         string   `json:"by"`
	Reason     string   `json:"reason"`
	StartedMS  int64    `json:"began_ms"`
	DeadlineMS int64    `json:"until_ms"` // aborted if it is not committed by then

	CanaryFraction float64  `json:"first,omitempty"`    // the part of the roster that goes ahead
	CanaryWatchMS  int64    `json:"watch_ms,omitempty"` // for how long it is compared with the rest
	CanarySinceMS  int64    `json:"since_ms,omitempty"` // when it began to
	Canaries       []string `json:"canaries,omitempty"` // who goes ahead
}

// HistoryEntry is a policy that was proposed: in force, or refused.
type HistoryEntry struct {
	Change
	Checksum string `json:"sum"`
	Outcome  string `json:"outcome"` // committed, or why not
	EndedMS  int64  `json:"ended_ms"`
}

// Op says what a command does.
type Op string

// The commands.
const (
	OpJoin    Op = "join"    // a sidecar takes a seat, before it is ready
	OpLeave   Op = "leave"   // it gives it up, or its lease has ended
	OpAck     Op = "say"     // it confirms a stage, or refuses a change
	OpEvict   Op = "evict"   // an operator's word that it has gone
	OpPropose Op = "propose" // an operator's
	OpAbort   Op = "abort"   // an operator's, or the leader's whose time is up
	OpAdvance Op = "advance" // the leader's: the next stage, if everybody is there
	OpReport  Op = "report"  // a sidecar's counts, while a few go ahead
)

// Command is one change of the state.
type Command struct {
	Op             Op            `json:"verb"`
	AtMS           int64         `json:"at_ms,omitempty"`
	Member         Member        `json:"member,omitzero"`
	ChangeNumber   uint64        `json:"number,omitempty"` // of the change that is meant
	Stage          Stage         `json:"stage,omitempty"`
	Refusal        string        `json:"no,omitempty"` // of Say: why it cannot
	Document       *Document     `json:"document,omitempty"`
	BaseEpoch      uint64        `json:"base,omitempty"` // of Propose: the epoch that it was compared with
	By             string        `json:"by,omitempty"`
	Reason         string        `json:"reason,omitempty"`
	WithinMS       int64         `json:"within_ms,omitempty"`
	CanaryFraction float64       `json:"first,omitempty"`    // of Propose
	CanaryWatchMS  int64         `json:"watch_ms,omitempty"` // of Propose
	Process        Process       `json:"where,omitzero"`     // of Join
	Counts         RequestCounts `json:"counts,omitzero"`    // of Report
}

// Why a command was not carried out.
var (
	ErrInvalid      = errors.New("bad command")
	ErrConflict     = errors.New("conflict")
	ErrNotFound     = errors.New("unknown")
	ErrLimitReached = errors.New("full")
)

const (
	maxRoster  = 4096
	maxHistory = 64
	maxEvicted = 1024
	maxReason  = 512
	// MaxWithinMS is the longest time that a change may take, in ms.
	MaxWithinMS = 7 * 24 * 3600 * 1000
)

// State is the workflow's state.
type State struct {
	epoch      uint64 // of the policy in force; 0: there is none yet
	lastNumber uint64 // the number given last
	document   Document
	stage      Stage
	change     *Change // unless settled; after commit it is what is in force
	roster     map[string]*RosterMember
	evicted    map[string]uint64 // the highest incarnation that may not come back
	history    []HistoryEntry
	version    uint64 // of the last change of anything
}

// New makes an empty state whose numbers begin after one.
func New(after uint64) *State {
	return &State{stage: StageSettled, roster: make(map[string]*RosterMember), evicted: make(map[string]uint64), lastNumber: after, version: after}
}

// Clone returns a copy that shares nothing that changes.
func (s *State) Clone() *State {
	c := *s
	if s.change != nil {
		one := *s.change
		c.change = &one
	}
	c.roster = make(map[string]*RosterMember, len(s.roster))
	for name, m := range s.roster {
		one := *m
		c.roster[name] = &one
	}
	c.evicted, c.history = maps.Clone(s.evicted), slices.Clone(s.history)
	return &c
}

// Apply carries one command out.
func (s *State) Apply(c Command) error {
	switch c.Op {
	case OpJoin, OpLeave, OpAck, OpEvict, OpReport:
		if c.Member.Name == "" || len(c.Member.Name) > maxName {
			return fmt.Errorf("%w: no member is named", ErrInvalid)
		}
	}
	switch c.Op {
	case OpJoin:
		return s.join(c)
	case OpLeave:
		return s.leave(c.Member)
	case OpAck:
		return s.ack(c)
	case OpEvict:
		return s.evict(c)
	case OpPropose:
		return s.propose(c)
	case OpAbort:
		return s.abort(c)
	case OpAdvance:
		return s.advance(c)
	case OpReport:
		return s.report(c)
	}
	return fmt.Errorf("%w: verb %.32q", ErrInvalid, c.Op)
}

// join gives a sidecar a seat. One that starts again has said nothing yet, whatever
// the process before it said.
func (s *State) join(c Command) error {
	was := s.roster[c.Member.Name]
	switch {
	case c.Member.Incarnation <= s.evicted[c.Member.Name] && s.evicted[c.Member.Name] > 0:
		return fmt.Errorf("%w: %s was evicted, its process has to start again", ErrConflict, c.Member.Name)
	case was != nil && was.Incarnation > c.Member.Incarnation:
		return fmt.Errorf("%w: a later process named %s is in the roster", ErrConflict, c.Member.Name)
	case was != nil && was.Incarnation == c.Member.Incarnation:
		return nil // it asks again
	case was == nil && len(s.roster) >= maxRoster:
		return fmt.Errorf("%w: %d are in the roster", ErrLimitReached, len(s.roster))
	}
	seat := &RosterMember{Member: c.Member, JoinedMS: c.AtMS, Process: c.Process}
	if mutation.KeptPromise && was != nil {
		seat.AckedChange, seat.AckedStage = was.AckedChange, was.AckedStage
	}
	s.roster[c.Member.Name] = seat
	s.version++
	return nil
}

// leave takes a seat away by evidence that its process acts no more.
func (s *State) leave(m Member) error {
	was := s.roster[m.Name]
	if was == nil || was.Incarnation != m.Incarnation {
		return nil // it has gone, or a later one has its seat
	}
	delete(s.roster, m.Name)
	s.version++
	s.settleIfConfirmed()
	return nil
}

// evict takes a seat away by an operator's word. That process is refused from now on.
func (s *State) evict(c Command) error {
	was := s.roster[c.Member.Name]
	if was == nil {
		return fmt.Errorf("%w: %s is not in the roster", ErrNotFound, c.Member.Name)
	}
	if len(s.evicted) >= maxEvicted {
		return fmt.Errorf("%w: %d were evicted", ErrLimitReached, len(s.evicted))
	}
	s.evicted[c.Member.Name] = max(1, was.Incarnation)
	return s.leave(was.Member)
}

// ack takes what a member confirms of a change, or why it cannot.
func (s *State) ack(c Command) error {
	seat := s.roster[c.Member.Name]
	if seat == nil || seat.Incarnation != c.Member.Incarnation {
		return fmt.Errorf("%w: %s has no seat: join first", ErrNotFound, c.Member.Name)
	}
	switch {
	case s.change == nil || s.change.Number != c.ChangeNumber:
		return nil // of a change that is over
	case c.Refusal != "" && s.stage != StageCommitted: // also one that joined since and never said that it could
		s.abandon(fmt.Sprintf("refused by %s: %.*s", c.Member.Name, maxReason, c.Refusal), c.AtMS)
		return nil
	case c.Refusal != "":
		return fmt.Errorf("%w: change %d is in force", ErrConflict, c.ChangeNumber)
	case stageOrder(c.Stage) > stageOrder(s.stageOf(seat.Name)):
		return fmt.Errorf("%w: change %d is %s, not %s yet", ErrConflict, c.ChangeNumber, s.stage, c.Stage)
	case seat.AckedChange == c.ChangeNumber && stageOrder(seat.AckedStage) >= stageOrder(c.Stage):
		return nil // it says so again
	}
	seat.AckedChange, seat.AckedStage = c.ChangeNumber, c.Stage
	s.version++
	s.settleIfConfirmed()
	return nil
}

func stageOrder(s Stage) int {
	return slices.Index([]Stage{"", StagePreparing, StageCanary, StageJoint, StageCommitted}, s)
}

// stageOf is the stage of the change for one member: those that go ahead are at joint,
// while for the others it is as if it were being prepared still.
func (s *State) stageOf(name string) Stage {
	switch {
	case s.stage != StageCanary:
		return s.stage
	case slices.Contains(s.change.Canaries, name):
		return StageJoint
	}
	return StagePreparing
}

// report takes a sidecar's counts while a few go ahead.
func (s *State) report(c Command) error {
	seat := s.roster[c.Member.Name]
	switch {
	case seat == nil || seat.Incarnation != c.Member.Incarnation:
		return fmt.Errorf("%w: %s has no seat: join first", ErrNotFound, c.Member.Name)
	case s.change == nil || s.change.Number != c.ChangeNumber || s.stage != StageCanary:
		return nil
	case seat.ReportedChange != c.ChangeNumber:
		seat.ReportedChange, seat.FirstReport = c.ChangeNumber, c.Counts
	}
	seat.LastReport = c.Counts
	s.version++
	return nil
}

// propose begins a change. The first policy of all is one too: sidecars hold their own
// configuration until then, as the old one.
func (s *State) propose(c Command) error {
	switch {
	case c.Document == nil:
		return fmt.Errorf("%w: no document", ErrInvalid)
	case c.By == "" || len(c.By) > maxName || len(c.Reason) > maxReason:
		return fmt.Errorf("%w: a change needs who proposes it, and a reason of %d bytes at most", ErrInvalid, maxReason)
	case c.WithinMS <= 0 || c.WithinMS > MaxWithinMS:
		return fmt.Errorf("%w: within_ms is %d, it must lie between 1 and %d", ErrInvalid, c.WithinMS, MaxWithinMS)
	}
	if err := c.Document.Check(); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if !(c.CanaryFraction >= 0 && c.CanaryFraction < 1) || c.CanaryFraction > 0 && (c.CanaryWatchMS <= 0 || c.CanaryWatchMS >= c.WithinMS) || c.CanaryFraction == 0 && c.CanaryWatchMS != 0 {
		return fmt.Errorf("%w: first is %g and watch_ms %d: a part under 1, watched for less than within_ms", ErrInvalid, c.CanaryFraction, c.CanaryWatchMS)
	}
	if s.change != nil && s.change.By == c.By && s.change.Document.Checksum() == c.Document.Checksum() && s.change.Reason == c.Reason {
		return nil // the same again: its answer was lost
	}
	if s.change != nil {
		return fmt.Errorf("%w: change %d of %s is %s", ErrConflict, s.change.Number, s.change.By, s.stage)
	}
	if c.BaseEpoch != s.epoch {
		return fmt.Errorf("%w: it was compared with epoch %d, %d is in force", ErrConflict, c.BaseEpoch, s.epoch)
	}
	s.lastNumber++
	s.change = &Change{Number: s.lastNumber, Document: *c.Document, By: c.By, Reason: c.Reason, StartedMS: c.AtMS, DeadlineMS: c.AtMS + c.WithinMS, CanaryFraction: c.CanaryFraction, CanaryWatchMS: c.CanaryWatchMS}
	s.stage = StagePreparing
	s.version++
	return nil
}

// abort leads back to the old policy; once the new one is in force there is no way back.
func (s *State) abort(c Command) error {
	switch {
	case s.change == nil || c.ChangeNumber != s.change.Number:
		return fmt.Errorf("%w: change %d is not under way", ErrNotFound, c.ChangeNumber)
	case s.stage == StageCommitted:
		return fmt.Errorf("%w: change %d is in force, the way back is another change", ErrConflict, c.ChangeNumber)
	}
	s.abandon(fmt.Sprintf("aborted by %s: %.*s", c.By, maxReason, c.Reason), c.AtMS)
	return nil
}

// abandon notes what became of a change that is not to be.
func (s *State) abandon(why string, at int64) {
	s.record(why, at)
	s.change, s.stage = nil, StageSettled
	s.version++
}

func (s *State) record(outcome string, at int64) {
	s.history = append(s.history, HistoryEntry{*s.change, s.change.Document.Checksum(), outcome, at})
	if over := len(s.history) - maxHistory; over > 0 {
		s.history = slices.Delete(s.history, 0, over)
	}
}

// advance takes a change to its next stage if everybody in the roster, those that have
// joined since among them, has confirmed the one it is at.
func (s *State) advance(c Command) error {
	if s.change == nil || c.ChangeNumber != s.change.Number || c.Stage != s.stage {
		return nil // it has been done
	}
	if who := s.waitingFor(); len(who) > 0 && s.stage != StageCommitted && !mutation.LooseStep {
		return fmt.Errorf("%w: change %d waits for %d, %s among them", ErrConflict, c.ChangeNumber, len(who), who[0])
	}
	switch s.stage {
	case StagePreparing:
		if s.change.CanaryFraction > 0 {
			s.stage, s.change.CanarySinceMS, s.change.Canaries = StageCanary, c.AtMS, s.chooseCanaries()
			break
		}
		if s.stage = StageJoint; mutation.NoJoint {
			s.commit(c.AtMS)
		}
	case StageCanary:
		s.stage = StageJoint
	case StageJoint:
		s.commit(c.AtMS)
	}
	s.version++
	s.settleIfConfirmed()
	return nil
}

// chooseCanaries draws who goes chooseCanaries: at least one, and others with each change.
func (s *State) chooseCanaries() []string {
	all := slices.Collect(maps.Keys(s.roster))
	by := func(name string) uint64 { return xxhash.Sum64String(fmt.Sprint(s.change.Number, "/", name)) }
	slices.SortFunc(all, func(a, b string) int { return cmp.Or(cmp.Compare(by(a), by(b)), cmp.Compare(a, b)) })
	n := min(len(all), int(math.Ceil(s.change.CanaryFraction*float64(len(all)))))
	return slices.Sorted(slices.Values(all[:n]))
}

// commit puts the new policy in force: one write.
func (s *State) commit(at int64) {
	s.epoch, s.document, s.stage = s.change.Number, s.change.Document, StageCommitted
	s.record("committed", at)
}

// settleIfConfirmed ends a change that is in force once everybody has confirmed it.
func (s *State) settleIfConfirmed() {
	if s.stage == StageCommitted && s.waitingFor() == nil {
		s.change, s.stage = nil, StageSettled
		s.version++
	}
}

// waitingFor is who has not confirmed the stage that the change is at.
func (s *State) waitingFor() (who []string) {
	if s.change == nil {
		return nil
	}
	for name, seat := range s.roster {
		if seat.AckedChange != s.change.Number || stageOrder(seat.AckedStage) < stageOrder(s.stageOf(name)) {
			who = append(who, name)
		}
	}
	slices.Sort(who)
	return who
}

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

// Version returns the version of the last change.
func (s *State) Version() uint64 { return s.version }

// Restore brings the state over a restore of the registry: policy, roster and a change
// under way are about processes that act now, and stay. Numbers go on above the
// backup's. A group that has no policy takes the backup's over, as a proposal would.
func (s *State) Restore(backup *State) {
	s.lastNumber = max(s.lastNumber, backup.lastNumber) + 1
	s.version = max(s.version, backup.version) + 1
	if s.epoch == 0 && s.change == nil && backup.epoch != 0 && len(s.roster) == 0 {
		s.epoch, s.document = s.lastNumber, backup.document
		s.history = slices.Clone(backup.history)
	}
}

type snapshot struct {
	Epoch      uint64                   `json:"epoch"`
	LastNumber uint64                   `json:"last"`
	Document   *Document                `json:"document,omitempty"`
	Stage      Stage                    `json:"stage"`
	Change     *Change                  `json:"change,omitempty"`
	Roster     map[string]*RosterMember `json:"roster,omitempty"`
	Evicted    map[string]uint64        `json:"evicted,omitempty"`
	History    []HistoryEntry           `json:"history,omitempty"`
	Version    uint64                   `json:"version"`
}

// MarshalJSON writes the state for a snapshot.
func (s *State) MarshalJSON() ([]byte, error) {
	i := snapshot{s.epoch, s.lastNumber, nil, s.stage, s.change, s.roster, s.evicted, s.history, s.version}
	if s.epoch != 0 {
		i.Document = &s.document
	}
	return json.Marshal(i)
}

// UnmarshalJSON reads a snapshot. What cannot be right is refused.
func (s *State) UnmarshalJSON(text []byte) error {
	var i snapshot
	if err := json.Unmarshal(text, &i); err != nil {
		return fmt.Errorf("policy: %w", err)
	}
	switch {
	case (i.Epoch == 0) != (i.Document == nil), i.Epoch > i.LastNumber, (i.Change == nil) != (i.Stage == StageSettled),
		i.Change != nil && i.Change.Number > i.LastNumber, !slices.Contains([]Stage{StageSettled, StagePreparing, StageCanary, StageJoint, StageCommitted}, i.Stage):
		return fmt.Errorf("policy: epoch %d at stage %.32q, last number %d", i.Epoch, i.Stage, i.LastNumber)
	}
	fresh := New(i.LastNumber)
	fresh.epoch, fresh.stage, fresh.change, fresh.history, fresh.version = i.Epoch, i.Stage, i.Change, i.History, i.Version
	if i.Document != nil {
		fresh.document = *i.Document
	}
	for name, seat := range i.Roster {
		if seat == nil || seat.Name != name {
			return fmt.Errorf("policy: seat %.64q is broken", name)
		}
		fresh.roster[name] = seat
	}
	maps.Copy(fresh.evicted, i.Evicted)
	*s = *fresh
	return nil
}
