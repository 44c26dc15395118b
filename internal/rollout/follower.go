package rollout

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"barleywick/internal/mutation"
)

// Acts is what a sidecar acts by.
type Acts struct {
	Epoch uint64    `json:"Epoch"` // of the policy in force as far as it knows; 0: its own configuration
	Doc   *Document `json:"Doc"`   // that policy; nil with epoch 0
	Joint uint64    `json:"Joint"` // the change with which it acts by the stricter of both; 0: none
	Next  *Document `json:"Next"`  // what that change would put in force
}

// Policy is the one document to act by; nil: its own configuration counts alone.
func (a Acts) Policy() *Document {
	switch {
	case a.Joint == 0:
		return a.Doc
	case a.Doc == nil:
		return a.Next
	}
	return Stricter(a.Doc, a.Next)
}

// Follower is one sidecar's part: a state machine without I/O and without a clock. It
// says what to act by, and what to say to the registry. It is not safe for concurrent
// use.
type Follower struct {
	Me    Member
	Where Where                   // where its process is; may be nowhere
	Can   func(d *Document) error // whether this sidecar could act by a document

	view    View
	have    bool // a view of a seat of its own
	said    Stage
	of      uint64 // the change that it said it of
	could   uint64 // the change that it said it can act by
	refused uint64
	why     string
	fatal   error
}

// Fatal says why this process cannot act by the policy in force, if it cannot: one that
// starts is to give its seat up again and to end. One that acts has said that it can.
func (f *Follower) Fatal() error { return f.fatal }

// Take takes news of the registry in. News that are older than those it has change
// nothing: they come late.
func (f *Follower) Take(v View) {
	if f.have && v.Version < f.view.Version {
		return
	}
	if f.view.Number != v.Number {
		f.said, f.of = "", 0
	}
	f.view, f.have = v, v.Seated
	f.fatal = nil
	if v.Seated && v.Doc != nil && f.could != v.Epoch {
		if f.fatal = f.Can(v.Doc); f.fatal == nil && v.Number != f.could {
			f.could = v.Epoch
		}
	}
	if !v.Seated {
		f.said, f.of = "", 0
	}
}

// Acting says whether it may act at all, and by what. Without a seat it does not: a
// change may pass that does not wait for it.
func (f *Follower) Acting() (Acts, bool) {
	if !f.have {
		return Acts{}, mutation.LateRoster
	}
	if f.fatal != nil {
		return Acts{}, false
	}
	a := Acts{Epoch: f.view.Epoch, Doc: f.view.Doc}
	if f.view.Stage == Joint {
		a.Joint, a.Next = f.view.Number, f.view.Next
	}
	return a, true
}

// Version is that of the news it has; 0: it has none.
func (f *Follower) Version() uint64 { return f.view.Version }

// Lose takes that the registry refuses this process: it was evicted, or a later one has
// its name. It acts no more.
func (f *Follower) Lose() { f.have, f.said, f.of = false, "", 0 }

// Next is what to say to the registry now, if anything. What it says of a stage it has
// to act by already: whoever calls puts Acting in force before.
func (f *Follower) Next() (Command, bool) {
	v := f.view
	switch {
	case !f.have:
		return Command{Verb: Join, Member: f.Me, Where: f.Where}, true
	case v.Stage == Settled || f.of == v.Number && order(f.said) >= order(v.Stage) && !f.refuses():
		return Command{}, false
	}
	c := Command{Verb: Say, Member: f.Me, Number: v.Number, Stage: v.Stage}
	if v.Next != nil && f.could != v.Number && f.refused != v.Number {
		if err := f.Can(v.Next); err != nil {
			f.Refuse(err)
		} else {
			f.could = v.Number
		}
	}
	if f.refuses() {
		c.No = f.why
	}
	return c, true
}

// refuses says whether it refuses the change under way, while that can be ended still.
func (f *Follower) refuses() bool { return f.view.Next != nil && f.refused == f.view.Number }

// Refuse takes that this sidecar cannot act by the change under way, whatever it has
// said of it. Before the change is in force that ends it everywhere.
func (f *Follower) Refuse(err error) {
	if f.view.Next != nil {
		f.refused, f.why = f.view.Number, err.Error()
	}
}

// Reports is the change for which counts are to be reported from time to time, if any.
func (f *Follower) Reports() (number uint64, wanted bool) {
	return f.view.Number, f.have && f.view.Report
}

// Said takes what became of what was said.
func (f *Follower) Said(c Command, err error) {
	switch {
	case c.Verb == Say && err == nil && c.No == "":
		f.said, f.of = c.Stage, c.Number
	case c.Verb == Say && errors.Is(err, ErrUnknown): // it has no seat any more
		f.Lose()
	}
}

// Standing is a line for people: what it refused, if anything.
func (f *Follower) Standing() (epoch uint64, stage Stage, refused string) {
	if f.refused != 0 && f.refused == f.view.Number {
		refused = f.why
	}
	return f.view.Epoch, f.view.Stage, refused
}

// Decide is the leader's part: what to do of a change as it stands, if anything. It
// decides on what it has read, which may be old by now: the state machine looks again.
func Decide(s Status, nowMS int64) (Command, bool) {
	c := s.Change
	switch {
	case c == nil:
	case len(s.Waits) == 0 && s.Stage == Canary && nowMS < c.UntilMS:
		if nowMS < c.SinceMS+c.WatchMS {
			break
		}
		worse, enough := Compare(s)
		if worse != "" {
			return Command{Verb: Abort, Number: c.Number, By: "those that went ahead", Reason: worse}, true
		}
		if enough {
			return Command{Verb: Advance, Number: c.Number, Stage: s.Stage}, true
		}
	case len(s.Waits) == 0 && s.Stage != Committed && s.Stage != Canary:
		return Command{Verb: Advance, Number: c.Number, Stage: s.Stage}, true
	case mutation.SilentLeave && nowMS >= (c.BeganMS+c.UntilMS)/2 && len(s.Waits) > 0:
		for _, seat := range s.Roster {
			if seat.Name == s.Waits[0] {
				return Command{Verb: Leave, Member: seat.Member}, true
			}
		}
	case s.Stage != Committed && nowMS >= c.UntilMS:
		why := "not confirmed by " + list(s.Waits)
		if len(s.Waits) == 0 {
			why = "too few requests at those that went ahead to compare them"
		}
		return Command{Verb: Abort, Number: c.Number, By: "its time-out", Reason: why}, true
	}
	return Command{}, false
}

const (
	// leastAsked is how many requests those that went ahead have to have had: with fewer,
	// a difference of some hundredths is chance.
	leastAsked = 100
	// worseBy is how much more of their requests may end badly than of the others', beyond
	// what chance does (three standard deviations).
	worseBy = 0.02
)

// Compare holds those that went ahead with a change against the rest, by the part of
// their requests that were refused, failed or answered late meanwhile. enough says
// whether there were enough to tell.
func Compare(s Status) (worse string, enough bool) {
	var ahead, rest Counts
	for _, seat := range s.Roster {
		if seat.Reported != s.Change.Number || seat.To.Asked < seat.From.Asked {
			continue // it has not reported, or has started again
		}
		sum := &rest
		if slices.Contains(s.Change.Canaries, seat.Name) {
			sum = &ahead
		}
		sum.Asked += seat.To.Asked - seat.From.Asked
		sum.Refused += seat.To.Refused - seat.From.Refused
		sum.Failed += seat.To.Failed - seat.From.Failed
		sum.Late += seat.To.Late - seat.From.Late
	}
	if ahead.Asked < leastAsked {
		return "", false
	}
	part := func(c Counts) float64 {
		return float64(c.Refused+c.Failed+c.Late) / float64(max(1, c.Asked))
	}
	a, r := part(ahead), part(rest)
	if chance := 3 * math.Sqrt(r*(1-min(1, r))/float64(ahead.Asked)); a > r+worseBy+chance {
		return fmt.Sprintf("%.3f of their %d requests ended badly (%d refused, %d failed, %d late), %.3f of the others' %d",
			a, ahead.Asked, ahead.Refused, ahead.Failed, ahead.Late, r, rest.Asked), true
	}
	return "", true
}

// list names some.
func list(names []string) string {
	const few = 5
	text := ""
	for i, n := range names {
		if i == few {
			return text + " and others"
		}
		if i > 0 {
			text += ", "
		}
		text += n
	}
	return text
}

// Key appends what tells the follower's state from others.
func (f *Follower) Key(text []byte) []byte {
	return fmt.Append(text, f.have, f.said, f.of, f.could, f.view.Epoch, f.view.Stage, f.view.Number, f.view.Version)
}
