package client

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"barleywick/internal/registry"
	"barleywick/internal/registry/registrytest"
	"barleywick/internal/rollout"
	"barleywick/internal/testing/fixture"
)

// The files of testdata/396a775 record the traffic between the client and the registry of
// that commit: exchanges.jsonl has the requests and responses, outcomes.jsonl the results
// returned to the client's caller, watch.txt the lines of a watch.

func decodeLines[T any](t *testing.T, text string) (all []T) {
	t.Helper()
	for line := range strings.Lines(text) {
		var v T
		if err := json.Unmarshal([]byte(line), &v); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		all = append(all, v)
	}
	return all
}

type recordedExchange struct {
	Step   string `json:"step"`
	Method string `json:"method"`
	URI    string `json:"uri"`
	Body   string `json:"body"` // for a long body, its length and checksum
	Status int    `json:"status"`
	Answer string `json:"answer"`
}

type recordedOutcome struct {
	Step   string          `json:"step"`
	Value  json.RawMessage `json:"value"`
	Error  string          `json:"error"`
	Status int             `json:"status"` // of a final rejection
	Is     []string        `json:"is"`     // names of the errors that it matches
}

// recordedReplica serves the recorded responses and checks that the requests are the
// recorded ones.
type recordedReplica struct {
	t         *testing.T
	exchanges []recordedExchange
	next      int
}

func (r *recordedReplica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		r.t.Error(err)
	}
	got := recordedExchange{Method: q.Method, URI: q.RequestURI, Body: string(body)}
	if len(body) > 4096 {
		got.Body = fmt.Sprintf("%d bytes, sha256 %x", len(body), sha256.Sum256(body))
	}
	if r.next == len(r.exchanges) {
		r.t.Errorf("unexpected request after the recorded ones: %+v", got)
		return
	}
	want := r.exchanges[r.next]
	r.next++
	if got.Method != want.Method || got.URI != want.URI || got.Body != want.Body {
		r.t.Errorf("%s: got %+v, want %+v", want.Step, got, want)
	}
	w.WriteHeader(want.Status)
	io.WriteString(w, want.Answer)
}

func startReplica(t *testing.T, handler http.Handler) (addr string) {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func newClient(t *testing.T, addrs ...string) *Client {
	t.Helper()
	c, err := New(addrs, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// namedErrors are the errors that a caller may test for, with their names in the recordings.
var namedErrors = []struct {
	name string
	err  error
}{
	{"bad", registry.ErrInvalid}, {"conflict", registry.ErrConflict}, {"fenced", registry.ErrFenced}, {"full", registry.ErrLimitReached},
	{"gone", registry.ErrClaimEnded}, {"held", registry.ErrLeaseHeld}, {"taken", registry.ErrHostTaken}, {"unknown", registry.ErrNotFound},
	{"unreachable", ErrUnreachable},
}

// outcomeChecker compares the results of calls with the recorded outcomes, in order.
type outcomeChecker struct {
	t    *testing.T
	want []recordedOutcome
	next int
}

func (o *outcomeChecker) check(step string, value any, err error) {
	o.t.Helper()
	want := o.want[o.next]
	o.next++
	if want.Step != step {
		o.t.Fatalf("got step %q, want the recorded step %q", step, want.Step)
	}
	text := []byte("null")
	if value != nil {
		var marshalErr error
		if text, marshalErr = json.Marshal(value); marshalErr != nil {
			o.t.Fatal(marshalErr)
		}
	}
	if !bytes.Equal(text, want.Value) {
		o.t.Errorf("%s:\ngot  %s\nwant %s", step, text, want.Value)
	}
	var message string
	var status int
	var is []string
	if err != nil {
		message = err.Error()
		for _, named := range namedErrors {
			if errors.Is(err, named.err) {
				is = append(is, named.name)
			}
		}
		var rejection *Error
		if errors.As(err, &rejection) {
			status = rejection.Status
		}
	}
	if message != want.Error || status != want.Status || !slices.Equal(is, want.Is) {
		o.t.Errorf("%s: got error %q, status %d, %v; want %q, status %d, %v", step, message, status, is, want.Error, want.Status, want.Is)
	}
}

// Every call sends the recorded request and returns the recorded result.
func TestRecordedExchanges(t *testing.T) {
	replica := &recordedReplica{t: t, exchanges: decodeLines[recordedExchange](t, fixture.ReadString(t, "exchanges.jsonl"))}
	c := newClient(t, startReplica(t, replica))
	o := &outcomeChecker{t: t, want: decodeLines[recordedOutcome](t, fixture.ReadString(t, "outcomes.jsonl"))}
	checkInstanceCalls(t, c, o)
	checkRecordCalls(t, c, o)
	checkLeaseCalls(t, c, o)
	checkPolicyCalls(t, c, o)
	checkGroupCalls(t, c, o)
	if replica.next != len(replica.exchanges) || o.next != len(o.want) {
		t.Errorf("got %d of %d requests and %d of %d outcomes", replica.next, len(replica.exchanges), o.next, len(o.want))
	}
}

func recordedInstance() registry.Instance {
	block := 3
	return registry.Instance{Host: "s-1+1", Dial: "127.0.0.1:7070", Site: "milano-a", Class: "m2", Block: &block, Health: registry.HealthUp, Share: 1.5, BornMS: 5}
}

func checkInstanceCalls(t *testing.T, c *Client, o *outcomeChecker) {
	ctx := t.Context()
	none := uint64(0)
	first := registry.RegisterRequest{Instance: recordedInstance(), Session: "session-1", TTLMS: 60000, Machine: "m-1"}
	w, err := c.Register(ctx, first)
	o.check("register", w, err)
	other := first
	other.Session = "session-2"
	w, err = c.Register(ctx, other)
	o.check("register taken", w, err)
	other.IfVersion = &none
	w, err = c.Register(ctx, other)
	o.check("register conflict", w, err)
	other.Instance.Dial = "10.0.0.1:1"
	w, err = c.Register(ctx, other)
	o.check("register bad", w, err)
	o.check("renew", nil, c.RenewSession(ctx, first.Instance.Host, "session-1"))
	o.check("renew unknown", nil, c.RenewSession(ctx, "nobody", "session-1"))
	w, err = c.Mark(ctx, registry.MarkRequest{Hosts: []string{first.Instance.Host}, MarkedBy: "ops-a", Draining: true})
	o.check("mark", w, err)
	w, err = c.Mark(ctx, registry.MarkRequest{Hosts: []string{"nobody"}, MarkedBy: "ops-a", Draining: true})
	o.check("mark unknown", w, err)
	all, err := c.Registrations(ctx)
	o.check("entries", all, err)
}

func checkRecordCalls(t *testing.T, c *Client, o *outcomeChecker) {
	ctx := t.Context()
	none := uint64(0)
	version, err := c.Put(ctx, "drain:m-1", []byte{0, 1, 254, 255}, &none)
	o.check("put", version, err)
	v, err := c.Put(ctx, "drain:m-1", []byte("2"), &none)
	o.check("put conflict", v, err)
	v, err = c.Put(ctx, "large", make([]byte, 64<<10), nil)
	o.check("put large", v, err)
	record, err := c.Record(ctx, "drain:m-1")
	o.check("record", record, err)
	record, err = c.Record(ctx, "none")
	o.check("record unknown", record, err)
	keys, err := c.RecordKeys(ctx)
	o.check("records", keys, err)
	o.check("drop conflict", nil, c.Delete(ctx, "drain:m-1", 1))
	o.check("drop", nil, c.Delete(ctx, "drain:m-1", version))
}

func checkLeaseCalls(t *testing.T, c *Client, o *outcomeChecker) {
	ctx := t.Context()
	holder := registry.Holder{Name: "k1", Incarnation: 7}
	acquire := func(step, id, name string, wait bool) registry.ClaimStatus {
		claim := registry.Claim{ID: "claim-of-" + id, Holder: registry.Holder{Name: name, Incarnation: 7}, TTLMS: 15000}
		status, err := c.Acquire(ctx, "drains", registry.AcquireRequest{Claim: claim, Wait: wait})
		o.check(step, status, err)
		return status
	}
	acquire("acquire before grants", "0", "k0", false)
	token := acquire("acquire", "1", "k1", true).Token
	acquire("acquire waits", "2", "k2", true)
	acquire("acquire held", "3", "k3", false)
	first := registry.ClaimRef{Lease: "drains", ClaimID: "claim-of-1"}
	renewed, err := c.RenewClaims(ctx, registry.RenewClaimsRequest{Holder: holder, Claims: []registry.ClaimRef{first, {Lease: "drains", ClaimID: "claim-of-none"}}})
	o.check("renewals", renewed, err)
	v, err := c.PutFenced(ctx, "fenced", []byte("1"), nil, &registry.Fence{Lease: "drains", Token: token})
	o.check("put fenced", v, err)
	v, err = c.PutFenced(ctx, "fenced", []byte("2"), nil, &registry.Fence{Lease: "drains", Token: token - 1})
	o.check("put fenced off", v, err)
	leases, err := c.Leases(ctx, 0, 0)
	o.check("leases", leases, err)
	leases, err = c.Leases(ctx, leases.Version-1, 100*time.Millisecond)
	o.check("leases after", leases, err)
	pause := true
	o.check("ask", nil, c.RequestYield(ctx, "drains", registry.YieldRequest{Yield: true, NextHolder: "k2"}))
	o.check("ask pause", nil, c.RequestYield(ctx, "health", registry.YieldRequest{Pause: &pause}))
	o.check("ask unknown", nil, c.RequestYield(ctx, "none", registry.YieldRequest{Yield: true}))
	renewed, err = c.RenewClaims(ctx, registry.RenewClaimsRequest{Holder: holder, Claims: []registry.ClaimRef{first}})
	o.check("renewals asked", renewed, err)
	o.check("release", nil, c.Release(ctx, "drains", registry.ReleaseRequest{ClaimID: "claim-of-1", Holder: holder, NextHolder: "k2"}))
	acquire("acquire gone", "1", "k1", true)
}

func checkPolicyCalls(t *testing.T, c *Client, o *outcomeChecker) {
	ctx := t.Context()
	var token uint64 // the recorded token of the expired lease
	if _, err := fmt.Sscanf(o.want[o.next+3].Error, "fenced off: version conflict: drains has token %d", &token); err != nil {
		t.Fatal(err)
	}
	member := rollout.Member{Name: "sidecar&1", Incarnation: 3}
	view, err := c.ApplyPolicyStep(ctx, rollout.Command{Op: rollout.OpJoin, Member: member, Process: rollout.Process{Machine: "m-1", PID: 8, StartTicks: 9}}, nil)
	o.check("policy join", view, err)
	document := &rollout.Document{FormatVersion: 1, Mode: rollout.ModeCarry, Tenants: []rollout.Tenant{{Name: "a", Slots: 3, QueuePlaces: 4}}}
	view, err = c.ApplyPolicyStep(ctx, rollout.Command{Op: rollout.OpPropose, Document: document, By: "ops-a", Reason: "r", WithinMS: 60000}, nil)
	o.check("policy propose", view, err)
	view, err = c.ApplyPolicyStep(ctx, rollout.Command{Op: rollout.OpAbort, ChangeNumber: 1, By: "ops-a"}, nil)
	o.check("policy unknown", view, err)
	view, err = c.ApplyPolicyStep(ctx, rollout.Command{Op: rollout.OpAdvance, ChangeNumber: 1, Stage: rollout.StagePreparing}, &registry.Fence{Lease: "drains", Token: token - 1})
	o.check("policy fenced off", view, err)
	view, err = c.PolicyView(ctx, member, 1, 100*time.Millisecond)
	o.check("policy view", view, err)
	view, err = c.PolicyView(ctx, rollout.Member{Name: "sidecar 1"}, 0, 0)
	o.check("policy view bad", view, err)
	status, err := c.PolicyStatus(ctx, 0, 0)
	o.check("policy status", status, err)
}

func checkGroupCalls(t *testing.T, c *Client, o *outcomeChecker) {
	ctx := t.Context()
	status, err := c.Status(ctx)
	o.check("status", status, err)
	backup, err := c.Backup(ctx)
	o.check("backup", json.RawMessage(backup), err)
	o.check("restore", nil, c.Restore(ctx, backup))
	o.check("restore bad", nil, c.Restore(ctx, []byte(`{"form":2}`)))
	o.check("remove taken", nil, c.Remove(ctx, recordedInstance().Host, "session-9"))
	o.check("remove", nil, c.Remove(ctx, recordedInstance().Host, ""))
}

// A recorded watch: the full list, an added endpoint, both draining, an empty line, one removed.
func TestRecordedWatch(t *testing.T) {
	lines := strings.Split(strings.TrimSuffix(fixture.ReadString(t, "watch.txt"), "\n"), "\n")
	if len(lines) != 5 || lines[3] != "" {
		t.Fatalf("recorded watch: got %d lines, want 5 with an empty fourth one", len(lines))
	}
	s := registrytest.NewServer(t)
	updates := startWatcher(t, s, &ListUpdate{Seq: 1, Full: true})
	w := await(t, "the watch", s.Watches)
	for i, want := range []ListUpdate{
		{Seq: 1839328215806981, Full: true, Endpoints: []Endpoint{recordedEndpoint("s-1+1", "up")}},
		{Seq: 1839328215806982, Endpoints: []Endpoint{recordedEndpoint("s-2", "up")}},
		{Seq: 1839328215806983, Endpoints: []Endpoint{recordedEndpoint("s-1+1", "draining"), recordedEndpoint("s-2", "draining")}},
		{},
		{Seq: 1839328215806984, Endpoints: []Endpoint{{Host: "s-2", Health: "removed"}}},
	} {
		w.Lines <- lines[i]
		if lines[i] == "" {
			continue
		}
		got := await(t, "an update", updates)
		if !sameUpdate(got, want) {
			t.Errorf("line %d: got %+v, want %+v", i, got, want)
		}
	}
}

func recordedEndpoint(host, health string) Endpoint {
	e := Endpoint{Host: host, Dial: "127.0.0.1:7070", Site: "milano-a", Health: health, Share: 1.5, BornMS: 5}
	if block := 3; host == "s-1+1" {
		e.Block = &block
	}
	return e
}

func sameUpdate(a, b ListUpdate) bool {
	return a.Seq == b.Seq && a.Full == b.Full && slices.EqualFunc(a.Endpoints, b.Endpoints, func(x, y Endpoint) bool {
		if (x.Block == nil) != (y.Block == nil) || x.Block != nil && *x.Block != *y.Block {
			return false
		}
		x.Block, y.Block = nil, nil
		return x == y
	})
}

// A redirected call goes to the leader, and the next call goes there directly.
func TestCallFollowsRedirect(t *testing.T) {
	calls := make(chan string, 10)
	leader := startReplica(t, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		calls <- "leader " + q.RequestURI + " " + string(body)
		io.WriteString(w, `{"version":1,"seq":2}`)
	}))
	follower := startReplica(t, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		calls <- "follower " + q.RequestURI
		w.Header().Set("Location", "http://"+leader+q.RequestURI)
		w.WriteHeader(http.StatusTemporaryRedirect)
	}))
	c := newClient(t, follower)
	for range 2 {
		if _, err := c.Put(t.Context(), "k", []byte("v"), nil); err != nil {
			t.Fatal(err)
		}
	}
	close(calls)
	const put = `leader /registry/v1/records/k {"value":"dg=="}`
	if got, want := slices.Collect(receiveAll(calls)), []string{"follower /registry/v1/records/k", put, put}; !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

func receiveAll[T any](c <-chan T) func(yield func(T) bool) {
	return func(yield func(T) bool) {
		for v := range c {
			if !yield(v) {
				return
			}
		}
	}
}

// A call skips replicas that cannot execute it. If no replica can, it keeps trying until
// its context or timeout ends.
func TestCallTriesOtherReplicas(t *testing.T) {
	unavailable := startReplica(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		io.WriteString(w, `{"version":0,"seq":0,"error":"no leader is known"}`)
	}))
	redirectLoop := startReplica(t, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Location", "http://"+q.Host+q.RequestURI)
		w.WriteHeader(http.StatusTemporaryRedirect)
	}))
	full := startReplica(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInsufficientStorage)
		io.WriteString(w, "full:\nno JSON")
	}))
	if err := newClient(t, "127.0.0.1:1", unavailable, redirectLoop, full).RenewSession(t.Context(), "s", "x"); !errors.Is(err, registry.ErrLimitReached) || err.Error() != "full:\nno JSON" {
		t.Errorf("got %v, want the only final rejection", err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	err := newClient(t, unavailable, redirectLoop).RenewSession(ctx, "s", "x")
	var rejection *Error
	if !errors.Is(err, ErrUnreachable) || errors.As(err, &rejection) {
		t.Errorf("got %v, want ErrUnreachable and no final rejection", err)
	}
	if err := newClient(t, unavailable).WithTimeout(50*time.Millisecond).RenewSession(t.Context(), "s", "x"); !errors.Is(err, ErrUnreachable) || !strings.HasSuffix(err.Error(), ": 503: no leader is known") {
		t.Errorf("got %v, want ErrUnreachable with the replica's message", err)
	}
}
