package integration

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"barleywick/internal/testing/linearizability"
)

// witness is an HTTP server to which the controllers report each action of a task and each call to the
// registry, for verify to check later. It accepts every report, whatever the lease or the fencing token.
type witness struct {
	addr  string
	began time.Time

	mu           sync.Mutex
	acts         []act
	calls        map[string]*recordedCall
	duplicateIDs []string // ids that two calls used; only the last of these is recorded
}

type act struct {
	task, actor string
	token       uint64
	begin, end  time.Duration
}

type recordedCall struct {
	task, kind, value, got, failed string
	version                        uint64
	call, ret                      time.Duration
	returned                       bool
}

func startWitness(t testing.TB) *witness {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &witness{addr: ln.Addr().String(), began: time.Now(), calls: make(map[string]*recordedCall)}
	s := &http.Server{Handler: w, ReadHeaderTimeout: eventTimeout}
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	return w
}

func (w *witness) now() time.Duration { return time.Since(w.began) }

// actDuration is how long the witness takes for an act.
const actDuration = 20 * time.Millisecond

func (w *witness) ServeHTTP(_ http.ResponseWriter, q *http.Request) {
	v := q.URL.Query()
	switch q.URL.Path {
	case "/act":
		a := act{task: v.Get("task"), actor: v.Get("by"), begin: w.now()}
		a.token, _ = strconv.ParseUint(v.Get("token"), 10, 64)
		select {
		case <-time.After(actDuration):
		case <-q.Context().Done(): // the actor has ended, or has stopped before the end of its lease
		}
		a.end = w.now()
		w.mu.Lock()
		w.acts = append(w.acts, a)
		w.mu.Unlock()
	case "/call":
		w.mu.Lock()
		if w.calls[v.Get("id")] != nil {
			w.duplicateIDs = append(w.duplicateIDs, v.Get("id"))
		}
		w.calls[v.Get("id")] = &recordedCall{task: v.Get("task"), kind: v.Get("kind"), value: v.Get("value"), call: w.now()}
		w.mu.Unlock()
	case "/return":
		w.mu.Lock()
		if o := w.calls[v.Get("id")]; o != nil {
			o.ret, o.returned, o.got, o.failed = w.now(), true, v.Get("got"), v.Get("error")
			o.version, _ = strconv.ParseUint(v.Get("version"), 10, 64)
		}
		w.mu.Unlock()
	}
}

// lastAct returns the last act for a task.
func (w *witness) lastAct(task string) (last act) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.acts {
		if a.task == task && a.begin > last.begin {
			last = a
		}
	}
	return last
}

func (w *witness) actCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.acts)
}

// paused is an interval in which a process was stopped.
type paused struct {
	process    string
	begin, end time.Duration
}

// verdict counts what a check has observed.
type verdict struct {
	Acts, Excused, Grants, Writes, Fenced, Unknown, Reads int
}

// verify checks that no two processes acted for a task at the same time, and the history of the calls.
// The bounds of timed acts do not cover a process that is stopped during an act, or between reading the
// clock and its call. So one act for each pause is excused: the first that overlaps the pause or begins
// up to a moment after it.
func (w *witness) verify(t testing.TB, pauses []paused, restored bool) verdict {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	var seen verdict
	seen.Acts = len(w.acts)
	slices.SortFunc(w.acts, func(a, b act) int { return cmp.Compare(a.begin, b.begin) })
	users := make(map[uint64]string)
	for _, a := range w.acts {
		if earlier, ok := users[a.token]; ok && earlier != a.actor+" "+a.task {
			t.Errorf("token %d is used by %s and by %s %s, want one user", a.token, earlier, a.actor, a.task)
		}
		users[a.token] = a.actor + " " + a.task
	}
	seen.Grants = len(users)
	used := make(map[paused]bool)
	excused := func(a act) bool {
		const margin = 100 * time.Millisecond
		for _, p := range pauses {
			if strings.HasPrefix(a.actor, p.process+"/") && !used[p] && a.end >= p.begin && a.begin <= p.end+margin {
				used[p] = true
				return true
			}
		}
		return false
	}
	running := make(map[string]act) // the act that ends last, by task
	for _, a := range w.acts {
		if earlier, ok := running[a.task]; ok && a.begin < earlier.end && (a.token != earlier.token || a.actor != earlier.actor) {
			if excused(a) || excused(earlier) {
				seen.Excused++
			} else {
				t.Errorf("overlapping acts: %s with token %d for %s from %v to %v, %s with %d from %v to %v", earlier.actor, earlier.token, a.task, earlier.begin, earlier.end, a.actor, a.token, a.begin, a.end)
			}
		}
		if a.end > running[a.task].end {
			running[a.task] = a
		}
	}
	if len(w.duplicateIDs) > 0 {
		t.Errorf("ids used by two calls: %q; their results cannot be distinguished", w.duplicateIDs)
	}
	byTask := make(map[string][]*recordedCall)
	for _, o := range w.calls {
		byTask[o.task] = append(byTask[o.task], o)
	}
	for task, ops := range byTask {
		seen.order(t, task, ops)
		if !restored { // a restore also changes records
			seen.linearizable(t, task, ops)
		}
	}
	return seen
}

// order checks that no fenced write took effect after one with a later token.
func (j *verdict) order(t testing.TB, task string, ops []*recordedCall) {
	t.Helper()
	var done []*recordedCall
	for _, o := range ops {
		switch {
		case o.kind == "read":
		case o.failed == "fenced":
			j.Fenced++
		case o.returned && o.failed == "":
			done = append(done, o)
			j.Writes++
		default:
			j.Unknown++
		}
	}
	slices.SortFunc(done, func(a, b *recordedCall) int { return cmp.Compare(a.version, b.version) })
	var last uint64
	for _, o := range done {
		words := strings.Fields(o.value)
		token, _ := strconv.ParseUint(words[1], 10, 64)
		if token < last {
			t.Errorf("%s: the write %q took effect after one with token %d", task, o.value, last)
		}
		last = token
	}
}

// linearizable checks the history of one record against a register. A write that was rejected by the
// fence may have been carried out by an earlier attempt of the same call.
func (j *verdict) linearizable(t testing.TB, task string, ops []*recordedCall) {
	t.Helper()
	var calls []linearizability.Operation
	for _, o := range ops {
		c := linearizability.Operation{Key: task, Written: o.value, Start: o.call, End: o.ret, Completed: o.returned && o.failed == ""}
		switch o.kind {
		case "blind":
			continue
		case "read":
			if c.Written, c.Read = "", o.got; c.Completed {
				j.Reads++
			}
		}
		calls = append(calls, c)
	}
	history := linearizability.GroupByKey(calls)[task]
	if got := linearizability.Check(history, eventTimeout); got != porcupine.Ok {
		t.Errorf("%s: the history of %d calls is not linearizable: %v; %s", task, len(history), got, describeViolation(ops))
	}
}

// describeViolation describes a violation that two calls show: a value that was read but never written,
// or read before its write; two values of one version; a call that returned an older version than a call
// that had ended before it began.
func describeViolation(ops []*recordedCall) string {
	done := slices.DeleteFunc(slices.Clone(ops), func(o *recordedCall) bool { return !o.returned || o.failed != "" || o.kind == "blind" })
	slices.SortFunc(done, func(a, b *recordedCall) int { return cmp.Compare(a.call, b.call) })
	wrote, values := make(map[string]*recordedCall), make(map[uint64]*recordedCall)
	for _, o := range ops {
		if o.kind == "write" {
			wrote[o.value] = o
		}
	}
	for _, o := range done {
		text := o.got
		if o.kind == "write" {
			text = o.value
		}
		if earlier := values[o.version]; earlier == nil {
			values[o.version] = o
		} else if earlier.got+earlier.value != text {
			return fmt.Sprintf("version %d has the value %q for one call and %q for another (%s from %v to %v, %s from %v to %v)", o.version, earlier.got+earlier.value, text, earlier.kind, earlier.call, earlier.ret, o.kind, o.call, o.ret)
		}
		w := wrote[text]
		switch {
		case o.kind != "read" || text == "":
		case w == nil:
			return fmt.Sprintf("%q was read, but never written", text)
		case o.ret < w.call:
			return fmt.Sprintf("the read of %q ended at %v, but its write began at %v", text, o.ret, w.call)
		}
	}
	for i, o := range done {
		for _, before := range done[:i] {
			if before.ret < o.call && before.version > o.version {
				return fmt.Sprintf("%s %q%q from %v to %v got version %d, after %s %q%q from %v to %v with %d", o.kind, o.value, o.got, o.call, o.ret, o.version,
					before.kind, before.value, before.got, before.call, before.ret, before.version)
			}
		}
	}
	return "no violation is visible in two calls"
}
