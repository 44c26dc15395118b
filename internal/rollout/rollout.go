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
	Settled   Stage = "settled"   // one policy, at everybody who is in the roster
	Preparing Stage = "preparing" // everybody is to say whether it can
	Canary    Stage = "canary"    // a few act by the stricter of both, and are compared with the rest
	Joint     Stage = "joint"     // everybody is to act by the stricter of both
	Committed Stage = "committed" // the new one is in force: everybody is to act by it
)

// Member is one sidecar in the roster. Of two with one name the one with the higher
// incarnation started later.
type Member struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// Seat is a member's place in the roster, and what it has said.
type Seat struct {
	Member
	JoinedMS int64  `json:"joined_ms"`
	Change   uint64 `json:"change,omitempty"` // the change that it spoke of last
	Said     Stage  `json:"said,omitempty"`   // the stage that it confirmed of that
	Where    Where  `json:"where,omitzero"`
	// What it reported first and last while a few went ahead with a change.
	Reported uint64 `json:"reported,omitempty"` // the change
	From     Counts `json:"from,omitzero"`
	To       Counts `json:"to,omitzero"`
}

// Where is where a sidecar's process is, for a keeper on the same machine: it can see
// when the process has gone.
type Where struct {
	Machine string `json:"machine"`
	PID     int    `json:"pid"`
	Started uint64 `json:"started"` // by the kernel's count: no two processes of one id have the same
}

// Counts are requests since a sidecar's start.
type Counts struct {
	Asked   uint64 `json:"asked"`
	Refused uint64 `json:"refused"`
	Failed  uint64 `json:"failed"`
	Late    uint64 `json:"late"` // answers after their class's aim
}

// Change is a proposed policy on its way.
type Change struct {
	Number  uint64   `json:"number"` // the epoch that it becomes
	Doc     Document `json:"document"`
	By      string   `json:"by"`
	Reason  string   `json:"reason"`
	BeganMS int64    `json:"began_ms"`
	UntilMS int64    `json:"until_ms"` // aborted if it is not committed by then

	First    float64  `json:"first,omitempty"`    // the part of the roster that goes ahead
	WatchMS  int64    `json:"watch_ms,omitempty"` // for how long it is compared with the rest
	SinceMS  int64    `json:"since_ms,omitempty"` // when it began to
	Canaries []string `json:"canaries,omitempty"` // who goes ahead
}

// Past is a policy that was proposed: in force, or refused.
type Past struct {
	Change
	Sum     string `json:"sum"`
	Outcome string `json:"outcome"` // committed, or why not
	EndedMS int64  `json:"ended_ms"`
}

// Verb says what a command does.
type Verb string

// The commands.
const (
	Join    Verb = "join"    // a sidecar takes a seat, before it is ready
	Leave   Verb = "leave"   // it gives it up, or its lease has ended
	Say     Verb = "say"     // it confirms a stage, or refuses a change
	Evict   Verb = "evict"   // an operator's word that it has gone
	Propose Verb = "propose" // an operator's
	Abort   Verb = "abort"   // an operator's, or the leader's whose time is up
	Advance Verb = "advance" // the leader's: the next stage, if everybody is there
	Report  Verb = "report"  // a sidecar's counts, while a few go ahead
)

// Command is one change of the state.
type Command struct {
	Verb   Verb      `json:"verb"`
	AtMS   int64     `json:"at_ms,omitempty"`
	Member Member    `json:"member,omitzero"`
	Number uint64    `json:"number,omitempty"` // of the change that is meant
	Stage  Stage     `json:"stage,omitempty"`
	No     string    `json:"no,omitempty"` // of Say: why it cannot
	Doc    *Document `json:"document,omitempty"`
	Base   uint64    `json:"base,omitempty"` // of Propose: the epoch that it was compared with
	By     string    `json:"by,omitempty"`
	Reason string    `json:"reason,omitempty"`
	Within int64     `json:"within_ms,omitempty"`
	First  float64   `json:"first,omitempty"`    // of Propose
	Watch  int64     `json:"watch_ms,omitempty"` // of Propose
	Where  Where     `json:"where,omitzero"`     // of Join
	Counts Counts    `json:"counts,omitzero"`    // of Report
}

// Why a command was not carried out.
var (
	ErrBad      = errors.New("bad command")
	ErrConflict = errors.New("conflict")
	ErrUnknown  = errors.New("unknown")
	ErrFull     = errors.New("full")
)

const (
	maxRoster  = 4096
	maxHistory = 64
	maxEvicted = 1024
	maxReason  = 512
	// MostWithin is the longest time that a change may take, in ms.
	MostWithin = 7 * 24 * 3600 * 1000
)

// State is the workflow's state.
type State struct {
	epoch   uint64 // of the policy in force; 0: there is none yet
	last    uint64 // the number given last
	doc     Document
	stage   Stage
	change  *Change // unless settled; after commit it is what is in force
	roster  map[string]*Seat
	evicted map[string]uint64 // the highest incarnation that may not come back
	history []Past
	version uint64 // of the last change of anything
}

// New makes an empty state whose numbers begin after one.
func New(after uint64) *State {
	return &State{stage: Settled, roster: make(map[string]*Seat), evicted: make(map[string]uint64), last: after, version: after}
}

// Clone returns a copy that shares nothing that changes.
func (s *State) Clone() *State {
	c := *s
	if s.change != nil {
		one := *s.change
		c.change = &one
	}
	c.roster = make(map[string]*Seat, len(s.roster))
	for name, m := range s.roster {
		one := *m
		c.roster[name] = &one
	}
	c.evicted, c.history = maps.Clone(s.evicted), slices.Clone(s.history)
	return &c
}

// Apply carries one command out.
func (s *State) Apply(c Command) error {
	switch c.Verb {
	case Join, Leave, Say, Evict, Report:
		if c.Member.Name == "" || len(c.Member.Name) > maxName {
			return fmt.Errorf("%w: no member is named", ErrBad)
		}
	}
	switch c.Verb {
	case Join:
		return s.join(c)
	case Leave:
		return s.leave(c.Member)
	case Say:
		return s.say(c)
	case Evict:
		return s.evict(c)
	case Propose:
		return s.propose(c)
	case Abort:
		return s.abort(c)
	case Advance:
		return s.advance(c)
	case Report:
		return s.report(c)
	}
	return fmt.Errorf("%w: verb %.32q", ErrBad, c.Verb)
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
		return fmt.Errorf("%w: %d are in the roster", ErrFull, len(s.roster))
	}
	seat := &Seat{Member: c.Member, JoinedMS: c.AtMS, Where: c.Where}
	if mutation.KeptPromise && was != nil {
		seat.Change, seat.Said = was.Change, was.Said
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
	s.settle()
	return nil
}

// evict takes a seat away by an operator's word. That process is refused from now on.
func (s *State) evict(c Command) error {
	was := s.roster[c.Member.Name]
	if was == nil {
		return fmt.Errorf("%w: %s is not in the roster", ErrUnknown, c.Member.Name)
	}
	if len(s.evicted) >= maxEvicted {
		return fmt.Errorf("%w: %d were evicted", ErrFull, len(s.evicted))
	}
	s.evicted[c.Member.Name] = max(1, was.Incarnation)
	return s.leave(was.Member)
}

// say takes what a member confirms of a change, or why it cannot.
func (s *State) say(c Command) error {
	seat := s.roster[c.Member.Name]
	if seat == nil || seat.Incarnation != c.Member.Incarnation {
		return fmt.Errorf("%w: %s has no seat: join first", ErrUnknown, c.Member.Name)
	}
	switch {
	case s.change == nil || s.change.Number != c.Number:
		return nil // of a change that is over
	case c.No != "" && s.stage != Committed: // also one that joined since and never said that it could
		s.end(fmt.Sprintf("refused by %s: %.*s", c.Member.Name, maxReason, c.No), c.AtMS)
		return nil
	case c.No != "":
		return fmt.Errorf("%w: change %d is in force", ErrConflict, c.Number)
	case order(c.Stage) > order(s.stageOf(seat.Name)):
		return fmt.Errorf("%w: change %d is %s, not %s yet", ErrConflict, c.Number, s.stage, c.Stage)
	case seat.Change == c.Number && order(seat.Said) >= order(c.Stage):
		return nil // it says so again
	}
	seat.Change, seat.Said = c.Number, c.Stage
	s.version++
	s.settle()
	return nil
}

func order(s Stage) int { return slices.Index([]Stage{"", Preparing, Canary, Joint, Committed}, s) }

// stageOf is the stage of the change for one member: those that go ahead are at joint,
// while for the others it is as if it were being prepared still.
func (s *State) stageOf(name string) Stage {
	switch {
	case s.stage != Canary:
		return s.stage
	case slices.Contains(s.change.Canaries, name):
		return Joint
	}
	return Preparing
}

// report takes a sidecar's counts while a few go ahead.
func (s *State) report(c Command) error {
	seat := s.roster[c.Member.Name]
	switch {
	case seat == nil || seat.Incarnation != c.Member.Incarnation:
		return fmt.Errorf("%w: %s has no seat: join first", ErrUnknown, c.Member.Name)
	case s.change == nil || s.change.Number != c.Number || s.stage != Canary:
		return nil
	case seat.Reported != c.Number:
		seat.Reported, seat.From = c.Number, c.Counts
	}
	seat.To = c.Counts
	s.version++
	return nil
}

// propose begins a change. The first policy of all is one too: sidecars hold their own
// configuration until then, as the old one.
func (s *State) propose(c Command) error {
	switch {
	case c.Doc == nil:
		return fmt.Errorf("%w: no document", ErrBad)
	case c.By == "" || len(c.By) > maxName || len(c.Reason) > maxReason:
		return fmt.Errorf("%w: a change needs who proposes it, and a reason of %d bytes at most", ErrBad, maxReason)
	case c.Within <= 0 || c.Within > MostWithin:
		return fmt.Errorf("%w: within_ms is %d, it must lie between 1 and %d", ErrBad, c.Within, MostWithin)
	}
	if err := c.Doc.Check(); err != nil {
		return fmt.Errorf("%w: %w", ErrBad, err)
	}
	if !(c.First >= 0 && c.First < 1) || c.First > 0 && (c.Watch <= 0 || c.Watch >= c.Within) || c.First == 0 && c.Watch != 0 {
		return fmt.Errorf("%w: first is %g and watch_ms %d: a part under 1, watched for less than within_ms", ErrBad, c.First, c.Watch)
	}
	if s.change != nil && s.change.By == c.By && s.change.Doc.Sum() == c.Doc.Sum() && s.change.Reason == c.Reason {
		return nil // the same again: its answer was lost
	}
	if s.change != nil {
		return fmt.Errorf("%w: change %d of %s is %s", ErrConflict, s.change.Number, s.change.By, s.stage)
	}
	if c.Base != s.epoch {
		return fmt.Errorf("%w: it was compared with epoch %d, %d is in force", ErrConflict, c.Base, s.epoch)
	}
	s.last++
	s.change = &Change{Number: s.last, Doc: *c.Doc, By: c.By, Reason: c.Reason, BeganMS: c.AtMS, UntilMS: c.AtMS + c.Within, First: c.First, WatchMS: c.Watch}
	s.stage = Preparing
	s.version++
	return nil
}

// abort leads back to the old policy; once the new one is in force there is no way back.
func (s *State) abort(c Command) error {
	switch {
	case s.change == nil || c.Number != s.change.Number:
		return fmt.Errorf("%w: change %d is not under way", ErrUnknown, c.Number)
	case s.stage == Committed:
		return fmt.Errorf("%w: change %d is in force, the way back is another change", ErrConflict, c.Number)
	}
	s.end(fmt.Sprintf("aborted by %s: %.*s", c.By, maxReason, c.Reason), c.AtMS)
	return nil
}

// end notes what became of a change that is not to be.
func (s *State) end(why string, at int64) {
	s.note(why, at)
	s.change, s.stage = nil, Settled
	s.version++
}

func (s *State) note(outcome string, at int64) {
	s.history = append(s.history, Past{*s.change, s.change.Doc.Sum(), outcome, at})
	if over := len(s.history) - maxHistory; over > 0 {
		s.history = slices.Delete(s.history, 0, over)
	}
}

// advance takes a change to its next stage if everybody in the roster, those that have
// joined since among them, has confirmed the one it is at.
func (s *State) advance(c Command) error {
	if s.change == nil || c.Number != s.change.Number || c.Stage != s.stage {
		return nil // it has been done
	}
	if who := s.waits(); len(who) > 0 && s.stage != Committed && !mutation.LooseStep {
		return fmt.Errorf("%w: change %d waits for %d, %s among them", ErrConflict, c.Number, len(who), who[0])
	}
	switch s.stage {
	case Preparing:
		if s.change.First > 0 {
			s.stage, s.change.SinceMS, s.change.Canaries = Canary, c.AtMS, s.ahead()
			break
		}
		if s.stage = Joint; mutation.NoJoint {
			s.commit(c.AtMS)
		}
	case Canary:
		s.stage = Joint
	case Joint:
		s.commit(c.AtMS)
	}
	s.version++
	s.settle()
	return nil
}

// ahead draws who goes ahead: at least one, and others with each change.
func (s *State) ahead() []string {
	all := slices.Collect(maps.Keys(s.roster))
	by := func(name string) uint64 { return xxhash.Sum64String(fmt.Sprint(s.change.Number, "/", name)) }
	slices.SortFunc(all, func(a, b string) int { return cmp.Or(cmp.Compare(by(a), by(b)), cmp.Compare(a, b)) })
	n := min(len(all), int(math.Ceil(s.change.First*float64(len(all)))))
	return slices.Sorted(slices.Values(all[:n]))
}

// commit puts the new policy in force: one write.
func (s *State) commit(at int64) {
	s.epoch, s.doc, s.stage = s.change.Number, s.change.Doc, Committed
	s.note("committed", at)
}

// settle ends a change that is in force once everybody has confirmed it.
func (s *State) settle() {
	if s.stage == Committed && s.waits() == nil {
		s.change, s.stage = nil, Settled
		s.version++
	}
}

// waits is who has not confirmed the stage that the change is at.
func (s *State) waits() (who []string) {
	if s.change == nil {
		return nil
	}
	for name, seat := range s.roster {
		if seat.Change != s.change.Number || order(seat.Said) < order(s.stageOf(name)) {
			who = append(who, name)
		}
	}
	slices.Sort(who)
	return who
}

// View is what a member is to act by.
type View struct {
	Version uint64    `json:"version"`
	Epoch   uint64    `json:"epoch"` // of the policy in force; 0: none, its own configuration counts
	Stage   Stage     `json:"stage"`
	Doc     *Document `json:"document,omitempty"` // in force
	Number  uint64    `json:"number,omitempty"`   // of the change under way
	Next    *Document `json:"next,omitempty"`     // what it would put in force
	Seated  bool      `json:"seated"`             // the member has a seat
	Report  bool      `json:"report,omitempty"`   // it is to report its counts from time to time
}

// View returns what a member is to act by.
func (s *State) View(m Member) View {
	v := View{Version: s.version, Epoch: s.epoch, Stage: s.stage}
	if s.epoch != 0 {
		doc := s.doc
		v.Doc = &doc
	}
	if s.change != nil {
		v.Number = s.change.Number
		if s.stage != Committed {
			doc := s.change.Doc
			v.Next = &doc
		}
	}
	seat := s.roster[m.Name]
	v.Seated = seat != nil && seat.Incarnation == m.Incarnation
	v.Stage, v.Report = s.stageOf(m.Name), s.stage == Canary
	return v
}

// Status is how everything stands, for operators and the leader.
type Status struct {
	Version uint64    `json:"version"`
	Epoch   uint64    `json:"epoch"`
	Stage   Stage     `json:"stage"`
	Doc     *Document `json:"document,omitempty"`
	Sum     string    `json:"sum,omitempty"`
	Change  *Change   `json:"change,omitempty"`
	Waits   []string  `json:"waits,omitempty"` // who has not confirmed the stage
	Roster  []Seat    `json:"roster"`
	History []Past    `json:"history"`
}

// Status returns how everything stands.
func (s *State) Status() Status {
	c := s.Clone()
	st := Status{Version: c.version, Epoch: c.epoch, Stage: c.stage, Change: c.change, Waits: c.waits(), History: c.history, Roster: []Seat{}}
	if c.epoch != 0 {
		st.Doc, st.Sum = &c.doc, c.doc.Sum()
	}
	for _, name := range slices.Sorted(maps.Keys(c.roster)) {
		st.Roster = append(st.Roster, *c.roster[name])
	}
	return st
}

// Version returns the version of the last change.
func (s *State) Version() uint64 { return s.version }

// Restored brings the state over a restore of the registry: policy, roster and a change
// under way are about processes that act now, and stay. Numbers go on above the
// backup's. A group that has no policy takes the backup's over, as a proposal would.
func (s *State) Restored(backup *State) {
	s.last = max(s.last, backup.last) + 1
	s.version = max(s.version, backup.version) + 1
	if s.epoch == 0 && s.change == nil && backup.epoch != 0 && len(s.roster) == 0 {
		s.epoch, s.doc = s.last, backup.doc
		s.history = slices.Clone(backup.history)
	}
}

type image struct {
	Epoch   uint64            `json:"epoch"`
	Last    uint64            `json:"last"`
	Doc     *Document         `json:"document,omitempty"`
	Stage   Stage             `json:"stage"`
	Change  *Change           `json:"change,omitempty"`
	Roster  map[string]*Seat  `json:"roster,omitempty"`
	Evicted map[string]uint64 `json:"evicted,omitempty"`
	History []Past            `json:"history,omitempty"`
	Version uint64            `json:"version"`
}

// MarshalJSON writes the state for a snapshot.
func (s *State) MarshalJSON() ([]byte, error) {
	i := image{s.epoch, s.last, nil, s.stage, s.change, s.roster, s.evicted, s.history, s.version}
	if s.epoch != 0 {
		i.Doc = &s.doc
	}
	return json.Marshal(i)
}

// UnmarshalJSON reads a snapshot. What cannot be right is refused.
func (s *State) UnmarshalJSON(text []byte) error {
	var i image
	if err := json.Unmarshal(text, &i); err != nil {
		return fmt.Errorf("policy: %w", err)
	}
	switch {
	case (i.Epoch == 0) != (i.Doc == nil), i.Epoch > i.Last, (i.Change == nil) != (i.Stage == Settled),
		i.Change != nil && i.Change.Number > i.Last, !slices.Contains([]Stage{Settled, Preparing, Canary, Joint, Committed}, i.Stage):
		return fmt.Errorf("policy: epoch %d at stage %.32q, last number %d", i.Epoch, i.Stage, i.Last)
	}
	fresh := New(i.Last)
	fresh.epoch, fresh.stage, fresh.change, fresh.history, fresh.version = i.Epoch, i.Stage, i.Change, i.History, i.Version
	if i.Doc != nil {
		fresh.doc = *i.Doc
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
