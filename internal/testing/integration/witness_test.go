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

// witness sees what is done and knows nothing of leases.
type witness struct {
	addr  string
	began time.Time

	mu   sync.Mutex
	acts []act
	ops  map[string]*op
	two  []string // ids that two calls had: one of them is not counted
}

type act struct {
	task, by   string
	token      uint64
	begin, end time.Duration
}

type op struct {
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
	w := &witness{addr: ln.Addr().String(), began: time.Now(), ops: make(map[string]*op)}
	s := &http.Server{Handler: w, ReadHeaderTimeout: patience}
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	return w
}

func (w *witness) now() time.Duration { return time.Since(w.began) }

// actTakes is how long the witness holds an act.
const actTakes = 20 * time.Millisecond

func (w *witness) ServeHTTP(_ http.ResponseWriter, q *http.Request) {
	v := q.URL.Query()
	switch q.URL.Path {
	case "/act":
		a := act{task: v.Get("task"), by: v.Get("by"), begin: w.now()}
		a.token, _ = strconv.ParseUint(v.Get("token"), 10, 64)
		select {
		case <-time.After(actTakes):
		case <-q.Context().Done(): // whoever acts has gone, or has stopped in time
		}
		a.end = w.now()
		w.mu.Lock()
		w.acts = append(w.acts, a)
		w.mu.Unlock()
	case "/call":
		w.mu.Lock()
		if w.ops[v.Get("id")] != nil {
			w.two = append(w.two, v.Get("id"))
		}
		w.ops[v.Get("id")] = &op{task: v.Get("task"), kind: v.Get("kind"), value: v.Get("value"), call: w.now()}
		w.mu.Unlock()
	case "/return":
		w.mu.Lock()
		if o := w.ops[v.Get("id")]; o != nil {
			o.ret, o.returned, o.got, o.failed = w.now(), true, v.Get("got"), v.Get("error")
			o.version, _ = strconv.ParseUint(v.Get("version"), 10, 64)
		}
		w.mu.Unlock()
	}
}

// lastAct is when a task was acted for last, and by whom.
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

func (w *witness) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.acts)
}

// paused is when a process was stopped.
type paused struct {
	of         string
	begin, end time.Duration
}

// verdict is what a check has seen.
type verdict struct {
	Acts, Excused, Grants, Writes, Fenced, Unknown, Reads int
}

// verify looks for two that acted at once. An act of a process that was stopped within
// it, or between its look at the clock and its call, is outside the bounds of timed
// acts: the first that it began before it was stopped, or up to a moment after it went on.
func (w *witness) verify(t testing.TB, pauses []paused, restored bool) verdict {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	var j verdict
	j.Acts = len(w.acts)
	slices.SortFunc(w.acts, func(a, b act) int { return cmp.Compare(a.begin, b.begin) })
	owner := make(map[uint64]string)
	for _, a := range w.acts {
		if was, ok := owner[a.token]; ok && was != a.by+" "+a.task {
			t.Errorf("token %d is that of %s and of %s %s", a.token, was, a.by, a.task)
		}
		owner[a.token] = a.by + " " + a.task
	}
	j.Grants = len(owner)
	used := make(map[paused]bool)
	excused := func(a act) bool {
		const moment = 100 * time.Millisecond
		for _, p := range pauses {
			if strings.HasPrefix(a.by, p.of+"/") && !used[p] && a.end >= p.begin && a.begin <= p.end+moment {
				used[p] = true
				return true
			}
		}
		return false
	}
	running := make(map[string]act) // by task: the act that ends last
	for _, a := range w.acts {
		if was, ok := running[a.task]; ok && a.begin < was.end && (a.token != was.token || a.by != was.by) {
			if excused(a) || excused(was) {
				j.Excused++
			} else {
				t.Errorf("%s acted with token %d for %s from %v to %v, %s with %d from %v to %v", was.by, was.token, a.task, was.begin, was.end, a.by, a.token, a.begin, a.end)
			}
		}
		if a.end > running[a.task].end {
			running[a.task] = a
		}
	}
	if len(w.two) > 0 {
		t.Errorf("ids of two calls: %q; what became of them cannot be told apart", w.two)
	}
	byTask := make(map[string][]*op)
	for _, o := range w.ops {
		byTask[o.task] = append(byTask[o.task], o)
	}
	for task, ops := range byTask {
		j.order(t, task, ops)
		if !restored { // which writes, too
			j.linearizable(t, task, ops)
		}
	}
	return j
}

// order checks that no fenced write has taken effect after one with a later token.
func (j *verdict) order(t testing.TB, task string, ops []*op) {
	t.Helper()
	var done []*op
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
	slices.SortFunc(done, func(a, b *op) int { return cmp.Compare(a.version, b.version) })
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

// linearizable holds the history of one record against a register. A write that was fenced
// off may have been done by an earlier try of the same call.
func (j *verdict) linearizable(t testing.TB, task string, ops []*op) {
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
	of := linearizability.GroupByKey(calls)[task]
	if got := linearizability.Check(of, patience); got != porcupine.Ok {
		t.Errorf("%s: the history of %d calls is not linearizable: %v; %s", task, len(of), got, backwards(ops))
	}
}

// backwards names what is wrong with a history, as far as two calls show it: a value that
// nobody wrote, or that was read before; two values of one version; a call that was
// answered with an older version than one that had been answered before it was made.
func backwards(ops []*op) string {
	done := slices.DeleteFunc(slices.Clone(ops), func(o *op) bool { return !o.returned || o.failed != "" || o.kind == "blind" })
	slices.SortFunc(done, func(a, b *op) int { return cmp.Compare(a.call, b.call) })
	wrote, values := make(map[string]*op), make(map[uint64]*op)
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
		if was := values[o.version]; was == nil {
			values[o.version] = o
		} else if was.got+was.value != text {
			return fmt.Sprintf("version %d is %q to one and %q to another (%s from %v to %v, %s from %v to %v)", o.version, was.got+was.value, text, was.kind, was.call, was.ret, o.kind, o.call, o.ret)
		}
		w := wrote[text]
		switch {
		case o.kind != "read" || text == "":
		case w == nil:
			return fmt.Sprintf("%q was read and nobody wrote it", text)
		case o.ret < w.call:
			return fmt.Sprintf("%q was read until %v and is written from %v on", text, o.ret, w.call)
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
	return "no version goes back"
}
