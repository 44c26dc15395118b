package registry

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"barleywick/internal/rollout"
)

// Op names what a command does.
type Op string

// The commands.
const (
	OpFoundGroup     Op = "found"    // begins a history; the first of every log
	OpRegister       Op = "register" // takes an instance in, or changes it
	OpMark           Op = "mark"     // marks a host draining, or takes the mark back
	OpRemove         Op = "remove"   // takes an instance out
	OpExpireSessions Op = "expire"   // takes instances out whose sessions have ended
	OpPutRecord      Op = "put"      // writes a record
	OpDeleteRecord   Op = "drop"     // deletes a record
	OpRestore        Op = "restore"  // puts a backup's contents in place of all there is
	OpPolicyStep     Op = "policy"   // a step of a change of policy, or of its roster
)

// Command is one change that all replicas apply in the same order.
type Command struct {
	Op Op `json:"op"`
	// AtMS is when the leader took the command on, as Unix time in milliseconds.
	AtMS int64 `json:"at_ms,omitempty"`
	// Term makes the command one of a leader's term: it is passed over if the log has it
	// from another. What a leader counted is void once another may have led.
	Term uint64 `json:"term,omitempty"`
	// IfVersion makes the command conditional on the version of the entry or
	// record that it changes; 0 means that there must be none.
	IfVersion *uint64 `json:"if_version,omitempty"`

	Group           string       `json:"group,omitempty"`
	Instance        *Instance    `json:"instance,omitempty"`
	Host            string       `json:"host,omitempty"`
	Session         string       `json:"session,omitempty"`
	TTLMS           int64        `json:"ttl_ms,omitempty"`
	Machine         string       `json:"machine,omitempty"`
	Draining        bool         `json:"draining,omitempty"`
	MarkedBy        string       `json:"by,omitempty"`        // who marks: only the same takes the mark back
	ExpiredSessions []SessionRef `json:"ended,omitempty"`     // of Expire
	Key             string       `json:"key,omitempty"`       // of a record
	Value           []byte       `json:"value,omitempty"`     // of a record
	Hosts           []string     `json:"hosts,omitempty"`     // of Mark: all of them or none
	IfRecord        string       `json:"record,omitempty"`    // of Mark: only while this record
	IfRecordVersion uint64       `json:"record_at,omitempty"` // has this version
	Backup          []byte       `json:"backup,omitempty"`    // of Restore: what MarshalJSON wrote

	Lease *LeaseCommand `json:"lease,omitempty"` // of the commands on leases
	Fence *Fence        `json:"fence,omitempty"` // only while this token is the lease's

	PolicyStep *rollout.Command `json:"policy,omitempty"`
}

// SessionRef is a session that is over: it counts only while the host still has it.
type SessionRef struct {
	Host    string `json:"host"`
	Session string `json:"session"`
}

// Why a command was not carried out. The state is as it was.
var (
	ErrConflict     = errors.New("version conflict")
	ErrHostTaken    = errors.New("registered by another session that is alive")
	ErrNotFound     = errors.New("no such entry")
	ErrLimitReached = errors.New("full")
	ErrInvalid      = errors.New("bad command")
)

// Result is what became of a command.
type Result struct {
	Version       uint64   // of the entry or record afterwards; 0 where there is none
	Seq           uint64   // of the list afterwards
	ChangedHosts  []string // hosts whose entry in the list changed
	Token         uint64   // of the claim's grant, where it has one
	QueuePosition int      // of the claim in the line, from 1 on, where it waits
	Err           error
}

// Registration is an instance with what the list does not show of it.
type Registration struct {
	Instance
	Session        string `json:"session,omitempty"`
	TTLMS          int64  `json:"ttl_ms,omitempty"` // 0: without a session, for ever
	Machine        string `json:"machine"`          // the machine it runs on
	Version        uint64 `json:"version"`          // of the list when it last changed
	ReportedHealth Health `json:"asked"`            // what the instance says of itself, without a mark
}

// Record is a value that others keep here under compare-and-set.
type Record struct {
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
	AtMS    int64  `json:"at_ms"`
}

const (
	maxListChanges = 4096 // entries in the log of changes
	maxRecords     = 1024
	maxRecordValue = 32 << 10
	maxMarks       = maxInstances
	versionsPerMS  = 1024 // versions a group is given for each millisecond of its life
)

// State is the whole state machine.
type State struct {
	group         string
	firstVersion  uint64 // the first version of this history
	seq           uint64 // the list's version
	registrations map[string]*Registration
	marks         map[string]string // host -> who marked it
	records       map[string]*Record
	recordVersion uint64 // the last version given to a record
	changes       []listChange
	changesAfter  uint64 // the log is complete for versions after this
	leases        *Leases
	rollout       *rollout.State
}

// listChange is one host's listChange. What it changed to is the entry's to tell.
type listChange struct {
	Seq  uint64 `json:"seq"`
	Host string `json:"host"`
}

// NewState makes an empty State that belongs to no group yet.
func NewState() *State {
	return &State{registrations: make(map[string]*Registration), marks: make(map[string]string), records: make(map[string]*Record), leases: newLeases(0), rollout: rollout.New(0)}
}

// Group returns the name of the group whose history this is; empty before it was founded.
func (s *State) Group() string { return s.group }

// Seq returns the list's version.
func (s *State) Seq() uint64 { return s.seq }

// FirstVersion returns the first version of this history.
func (s *State) FirstVersion() uint64 { return s.firstVersion }

// Apply carries one command out.
func (s *State) Apply(c Command) Result {
	r := s.apply(c)
	r.Seq = s.seq
	return r
}

func (s *State) apply(c Command) Result {
	if s.group == "" && c.Op != OpFoundGroup {
		return failed(fmt.Errorf("%w: the group has not been founded", ErrInvalid))
	}
	if err := s.leases.checkFence(c.Fence); err != nil {
		return failed(err)
	}
	switch c.Op {
	case OpAcquireLease, OpReleaseLease, OpExpireClaims, OpRequestYield, OpOpenGrants:
		seated := s.rosterLeasesEndedBy(c)
		r := s.leases.apply(c.Op, c.Lease)
		s.leaveRoster(seated)
		return r
	case OpPolicyStep:
		return s.applyPolicyStep(c)
	case OpFoundGroup:
		return s.foundGroup(c)
	case OpRegister:
		return s.register(c)
	case OpMark:
		return s.mark(c)
	case OpRemove:
		return s.remove(c)
	case OpExpireSessions:
		return s.expireSessions(c)
	case OpPutRecord, OpDeleteRecord:
		return s.edit(c)
	case OpRestore:
		return s.restore(c)
	}
	return failed(fmt.Errorf("%w: operation %.32q", ErrInvalid, c.Op))
}

func failed(err error) Result { return Result{Err: err} }

// foundGroup begins a history. Its versions begin where no other group's can be: a
// watcher that comes with a version of another history is older than this one's
// log or ahead of it, and gets the whole list either way.
func (s *State) foundGroup(c Command) Result {
	if s.group != "" {
		if s.group != c.Group {
			return failed(fmt.Errorf("%w: this is group %q", ErrConflict, s.group))
		}
		return Result{Version: s.firstVersion}
	}
	if err := CheckName("group", c.Group); err != nil {
		return failed(fmt.Errorf("%w: %w", ErrInvalid, err))
	}
	if c.AtMS <= 0 || c.AtMS > MaxVersion/versionsPerMS/2 {
		return failed(fmt.Errorf("%w: founded at %d", ErrInvalid, c.AtMS))
	}
	s.group, s.firstVersion = c.Group, uint64(c.AtMS)*versionsPerMS
	s.seq, s.changesAfter, s.recordVersion = s.firstVersion, s.firstVersion, s.firstVersion
	// Tokens begin where no earlier group's can be, and no lease is granted until those
	// of an earlier group of this name have run out.
	s.leases = newLeases(s.firstVersion)
	s.leases.grantsClosed = true
	s.rollout = rollout.New(s.firstVersion)
	return Result{Version: s.firstVersion}
}

// register takes an instance in. The same again changes nothing; another session
// may take a host over only if it started later, as after a restart, or if it says
// which version it replaces.
func (s *State) register(c Command) Result {
	if c.Instance == nil {
		return failed(fmt.Errorf("%w: no instance", ErrInvalid))
	}
	if err := c.Instance.Check(); err != nil {
		return failed(fmt.Errorf("%w: %w", ErrInvalid, err))
	}
	e := &Registration{Instance: *c.Instance, Session: c.Session, TTLMS: c.TTLMS, Machine: c.Machine, ReportedHealth: c.Instance.Health}
	if _, marked := s.marks[e.Host]; marked {
		e.Health = HealthDraining
	}
	was := s.registrations[e.Host]
	if was != nil {
		if was.Instance.equal(e.Instance) && was.Session == e.Session && was.TTLMS == e.TTLMS && was.Machine == e.Machine && was.ReportedHealth == e.ReportedHealth {
			return Result{Version: was.Version}
		}
		if was.Session != e.Session && c.IfVersion == nil && was.Session != "" && e.BornMS <= was.BornMS {
			return Result{Version: was.Version, Err: fmt.Errorf("%w: host %s", ErrHostTaken, e.Host)}
		}
	}
	if err := checkVersion(c.IfVersion, was); err != nil {
		return Result{Version: was.versionOrZero(), Err: err}
	}
	if was == nil && len(s.registrations) >= maxInstances {
		return failed(fmt.Errorf("%w: %d instances are registered", ErrLimitReached, len(s.registrations)))
	}
	s.registrations[e.Host] = e
	s.bumpVersion(e.Host) // even where the list does not show it: the entry's version has to move
	return Result{Version: e.Version, ChangedHosts: []string{e.Host}}
}

func (e *Registration) versionOrZero() uint64 {
	if e == nil {
		return 0
	}
	return e.Version
}

func checkVersion(want *uint64, e *Registration) error {
	if want != nil && *want != e.versionOrZero() {
		return fmt.Errorf("%w: the entry has version %d, not %d", ErrConflict, e.versionOrZero(), *want)
	}
	return nil
}

// mark marks hosts draining for somebody, or takes that back: all or none. A mark
// stays while its host is away: a server that starts again on a machine that is
// being drained gets nothing.
func (s *State) mark(c Command) Result {
	hosts := c.Hosts
	if c.Host != "" {
		hosts = append(slices.Clone(hosts), c.Host)
	}
	if len(hosts) == 0 || c.MarkedBy == "" || len(c.MarkedBy) > maxNameLength {
		return failed(fmt.Errorf("%w: a mark needs hosts and who sets it", ErrInvalid))
	}
	if c.IfRecord != "" {
		if rec := s.records[c.IfRecord]; rec == nil || rec.Version != c.IfRecordVersion {
			return failed(fmt.Errorf("%w: record %s is not at version %d any more", ErrConflict, c.IfRecord, c.IfRecordVersion))
		}
	}
	for _, h := range hosts {
		e := s.registrations[h]
		by, marked := s.marks[h]
		switch {
		case c.Draining && e == nil && !marked:
			return failed(fmt.Errorf("%w: host %.64s", ErrNotFound, h))
		case marked && by != c.MarkedBy:
			return Result{Version: e.versionOrZero(), Err: fmt.Errorf("%w: host %s is marked by %s", ErrConflict, h, by)}
		case c.Draining && !marked && len(s.marks) >= maxMarks:
			return failed(fmt.Errorf("%w: %d hosts are marked", ErrLimitReached, len(s.marks)))
		}
		if len(hosts) == 1 {
			if err := checkVersion(c.IfVersion, e); err != nil && (c.Draining != marked) {
				return Result{Version: e.versionOrZero(), Err: err}
			}
		}
	}
	var changed []string
	for _, h := range hosts {
		e := s.registrations[h]
		health := HealthDraining
		if c.Draining {
			s.marks[h] = c.MarkedBy
		} else if delete(s.marks, h); e != nil {
			health = e.ReportedHealth
		}
		if e != nil && e.Health != health {
			e.Health = health
			changed = append(changed, h)
		}
	}
	s.bumpVersion(changed...)
	return Result{Version: s.registrations[hosts[len(hosts)-1]].versionOrZero(), ChangedHosts: changed}
}

// remove takes an instance out, and its mark with it. One that is not there is
// out already.
func (s *State) remove(c Command) Result {
	if err := CheckName("host", c.Host); err != nil {
		return failed(fmt.Errorf("%w: %w", ErrInvalid, err))
	}
	e := s.registrations[c.Host]
	if e == nil {
		return Result{}
	}
	if err := checkVersion(c.IfVersion, e); err != nil {
		return Result{Version: e.Version, Err: err}
	}
	if c.Session != "" && c.Session != e.Session {
		return Result{Version: e.Version, Err: fmt.Errorf("%w: host %s", ErrHostTaken, c.Host)}
	}
	delete(s.registrations, c.Host)
	if c.Session == "" { // the operator's word, not the instance's own
		delete(s.marks, c.Host)
	}
	s.bumpVersion(c.Host)
	return Result{ChangedHosts: []string{c.Host}}
}

// expireSessions takes out those whose session is still the one that ended.
func (s *State) expireSessions(c Command) Result {
	var changed []string
	for _, x := range c.ExpiredSessions {
		if e := s.registrations[x.Host]; e != nil && e.Session == x.Session && e.Session != "" {
			delete(s.registrations, x.Host)
			changed = append(changed, x.Host)
		}
	}
	s.bumpVersion(changed...)
	return Result{ChangedHosts: changed}
}

// restore takes over the contents of a backup, but not its versions: the list's
// go on, to where no version was before, and every watcher gets the whole list.
func (s *State) restore(c Command) Result {
	from := NewState()
	if err := json.Unmarshal(c.Backup, from); err != nil {
		return failed(fmt.Errorf("%w: %w", ErrInvalid, err))
	}
	if from.group != s.group {
		return failed(fmt.Errorf("%w: the backup is of group %.64q, this is %q", ErrConflict, from.group, s.group))
	}
	for _, e := range from.registrations {
		if err := e.Instance.Check(); err != nil {
			return failed(fmt.Errorf("%w: backup: %w", ErrInvalid, err))
		}
	}
	next := max(s.seq, s.recordVersion, from.seq, from.recordVersion) + 1
	for _, e := range from.registrations {
		e.Version = next
	}
	for _, r := range from.records {
		r.Version = next
	}
	from.firstVersion, from.seq, from.changesAfter, from.recordVersion, from.changes = s.firstVersion, next, next, next, nil
	s.leases.keepOverRestore(from.leases)
	from.leases = s.leases
	s.rollout.Restore(from.rollout)
	from.rollout = s.rollout
	*s = *from
	return Result{Version: next}
}

// edit writes or deletes a record. The same value again changes nothing.
func (s *State) edit(c Command) Result {
	if err := CheckName("key", c.Key); err != nil {
		return failed(fmt.Errorf("%w: %w", ErrInvalid, err))
	}
	was, version := s.records[c.Key], uint64(0)
	if was != nil {
		version = was.Version
	}
	if c.Op == OpDeleteRecord && was == nil {
		return Result{}
	}
	if c.Op == OpPutRecord && was != nil && slices.Equal(was.Value, c.Value) && (c.IfVersion == nil || *c.IfVersion <= version) {
		return Result{Version: version} // a repeat, or the same by somebody else
	}
	switch {
	case c.IfVersion != nil && *c.IfVersion != version:
		return Result{Version: version, Err: fmt.Errorf("%w: the record has version %d, not %d", ErrConflict, version, *c.IfVersion)}
	case len(c.Value) > maxRecordValue:
		return Result{Version: version, Err: fmt.Errorf("%w: a value of %d bytes, %d at most", ErrInvalid, len(c.Value), maxRecordValue)}
	case was == nil && len(s.records) >= maxRecords:
		return failed(fmt.Errorf("%w: %d records are kept", ErrLimitReached, len(s.records)))
	}
	if c.Op == OpDeleteRecord {
		delete(s.records, c.Key)
		return Result{}
	}
	s.recordVersion++
	s.records[c.Key] = &Record{Value: slices.Clone(c.Value), Version: s.recordVersion, AtMS: c.AtMS}
	return Result{Version: s.recordVersion}
}

// bumpVersion gives the list its next version, with these hosts bumpVersion in it.
func (s *State) bumpVersion(hosts ...string) {
	if len(hosts) == 0 {
		return
	}
	s.seq++
	for _, h := range hosts {
		if e := s.registrations[h]; e != nil {
			e.Version = s.seq
		}
		s.changes = append(s.changes, listChange{s.seq, h})
	}
	if over := len(s.changes) - maxListChanges; over > 0 {
		s.changesAfter = s.changes[over-1].Seq
		for over < len(s.changes) && s.changes[over].Seq == s.changesAfter { // a version goes whole or not at all
			over++
		}
		s.changes = slices.Delete(s.changes, 0, over)
	}
}

// FullList returns the list.
func (s *State) FullList() ListUpdate {
	l := ListUpdate{Seq: s.seq, Full: true, Instances: make([]Instance, 0, len(s.registrations))}
	for _, h := range slices.Sorted(maps.Keys(s.registrations)) {
		l.Instances = append(l.Instances, s.registrations[h].Instance)
	}
	return l
}

// ChangesSince returns what changed after a version: each host that did, as it is now.
// Where the log does not tell, for a version before it, after the newest or of
// another history, it is the whole list.
func (s *State) ChangesSince(from uint64) ListUpdate {
	if from < s.changesAfter || from > s.seq {
		return s.FullList()
	}
	at, _ := slices.BinarySearchFunc(s.changes, from+1, func(c listChange, v uint64) int { return cmp.Compare(c.Seq, v) })
	hosts := make(map[string]bool)
	for _, c := range s.changes[at:] {
		hosts[c.Host] = true
	}
	l := ListUpdate{Seq: s.seq, Instances: make([]Instance, 0, len(hosts))}
	for _, h := range slices.Sorted(maps.Keys(hosts)) {
		if e := s.registrations[h]; e != nil {
			l.Instances = append(l.Instances, e.Instance)
		} else {
			l.Instances = append(l.Instances, Instance{Host: h, Health: HealthRemoved})
		}
	}
	return l
}

// Len returns how many instances there are.
func (s *State) Len() int { return len(s.registrations) }

// Registrations returns all entries, by host.
func (s *State) Registrations() []Registration {
	all := make([]Registration, 0, len(s.registrations))
	for _, h := range slices.Sorted(maps.Keys(s.registrations)) {
		all = append(all, *s.registrations[h])
	}
	return all
}

// Registration returns one entry.
func (s *State) Registration(host string) (Registration, bool) {
	if e := s.registrations[host]; e != nil {
		return *e, true
	}
	return Registration{}, false
}

// Marks returns who marked which hosts draining.
func (s *State) Marks() map[string]string { return maps.Clone(s.marks) }

// Record returns one record.
func (s *State) Record(key string) (Record, bool) {
	if r := s.records[key]; r != nil {
		return *r, true
	}
	return Record{}, false
}

// RecordKeys returns the keys of all records.
func (s *State) RecordKeys() []string { return slices.Sorted(maps.Keys(s.records)) }

// Clone returns a copy that shares nothing that changes.
func (s *State) Clone() *State {
	c := *s
	c.registrations = make(map[string]*Registration, len(s.registrations))
	for h, e := range s.registrations {
		one := *e
		c.registrations[h] = &one
	}
	c.marks, c.records, c.changes, c.leases = maps.Clone(s.marks), maps.Clone(s.records), slices.Clone(s.changes), s.leases.Clone()
	c.rollout = s.rollout.Clone()
	return &c
}

// Leases returns the leases, to be read.
func (s *State) Leases() *Leases { return s.leases }

// stateSnapshot is the state as it stands in a snapshot.
type stateSnapshot struct {
	Form    int                      `json:"form"`
	Group   string                   `json:"group"`
	Founded uint64                   `json:"founded"`
	Seq     uint64                   `json:"seq"`
	Oldest  uint64                   `json:"oldest"`
	Edits   uint64                   `json:"edits"`
	Entries map[string]*Registration `json:"entries"`
	Marks   map[string]string        `json:"marks"`
	Records map[string]*Record       `json:"records"`
	Log     []listChange             `json:"log"`
	Leases  *Leases                  `json:"leases,omitempty"`
	Policy  *rollout.State           `json:"policy,omitempty"`
}

const snapshotForm = 1

// MarshalJSON writes the state for a snapshot.
func (s *State) MarshalJSON() ([]byte, error) {
	return json.Marshal(stateSnapshot{snapshotForm, s.group, s.firstVersion, s.seq, s.changesAfter, s.recordVersion, s.registrations, s.marks, s.records, s.changes, s.leases, s.rollout})
}

// UnmarshalJSON reads a snapshot. A state that cannot be right is refused, and
// leaves s as it was.
func (s *State) UnmarshalJSON(text []byte) error {
	var i stateSnapshot
	if err := json.Unmarshal(text, &i); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	switch {
	case i.Form != snapshotForm:
		return fmt.Errorf("snapshot: form %d is not known, only %d", i.Form, snapshotForm)
	case i.Group == "" && i.Seq != 0, i.Seq < i.Founded, i.Oldest < i.Founded, i.Oldest > i.Seq:
		return fmt.Errorf("snapshot: versions %d to %d of a history from %d", i.Oldest, i.Seq, i.Founded)
	case !slices.IsSortedFunc(i.Log, func(a, b listChange) int { return cmp.Compare(a.Seq, b.Seq) }),
		len(i.Log) > 0 && (i.Log[0].Seq <= i.Oldest || i.Log[len(i.Log)-1].Seq > i.Seq):
		return errors.New("snapshot: the log of changes is out of order")
	}
	for host, e := range i.Entries {
		if e == nil || e.Host != host || e.Version > i.Seq {
			return fmt.Errorf("snapshot: entry %.64q is broken", host)
		}
	}
	for key, r := range i.Records {
		if r == nil || r.Version > i.Edits {
			return fmt.Errorf("snapshot: record %.64q is broken", key)
		}
	}
	fresh := NewState()
	fresh.group, fresh.firstVersion, fresh.seq, fresh.changesAfter, fresh.recordVersion = i.Group, i.Founded, i.Seq, i.Oldest, i.Edits
	maps.Copy(fresh.registrations, i.Entries)
	maps.Copy(fresh.marks, i.Marks)
	maps.Copy(fresh.records, i.Records)
	fresh.changes = i.Log
	if fresh.leases = i.Leases; i.Leases == nil { // written before there were leases
		fresh.leases = newLeases(i.Edits)
	}
	if fresh.rollout = i.Policy; i.Policy == nil {
		fresh.rollout = rollout.New(i.Edits)
	}
	*s = *fresh
	return nil
}
