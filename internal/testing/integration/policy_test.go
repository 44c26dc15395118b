package integration

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"barleywick/internal/controller"
	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
	"barleywick/internal/rollout"
	"barleywick/internal/testing/faultinjection"
)

func runController() error {
	stop, _ := signals()
	c, err := controller.LoadConfig(os.Getenv(configVariable))
	if err != nil {
		return err
	}
	return controller.Serve(stop, c)
}

// countingServer is a fake booking server, the only one of a policyFleet. It counts the open requests of
// each sidecar, whose name it reads from the Request-Id.
type countingServer struct {
	addr  string
	slots chan struct{} // if set, limits how many requests run at once; the others wait

	mu   sync.Mutex
	open map[string]int
	peak map[string]int // most open requests since the last call of takePeaks, by sidecar
	ran  map[string]int
}

// holdTime is how long a countingServer runs a request.
const holdTime = 60 * time.Millisecond

func startCountingServer(t testing.TB) *countingServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o := &countingServer{addr: ln.Addr().String(), open: make(map[string]int), peak: make(map[string]int), ran: make(map[string]int)}
	s := &http.Server{Handler: o, ReadHeaderTimeout: eventTimeout}
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	return o
}

func (o *countingServer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	sidecar, _, _ := strings.Cut(id, "/")
	io.Copy(io.Discard, q.Body)
	o.mu.Lock()
	o.ran[id]++
	o.open[sidecar]++
	o.peak[sidecar] = max(o.peak[sidecar], o.open[sidecar])
	o.mu.Unlock()
	if o.slots != nil && id != "" {
		o.slots <- struct{}{}
		defer func() { <-o.slots }()
	}
	time.Sleep(holdTime)
	o.mu.Lock()
	o.open[sidecar]--
	o.mu.Unlock()
	w.Header().Set("Content-Length", "2")
	io.WriteString(w, "ok")
}

// takePeaks returns the most open requests that each sidecar has had since the last call.
func (o *countingServer) takePeaks() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	peaks := o.peak
	o.peak = make(map[string]int)
	for sidecar, n := range o.open {
		o.peak[sidecar] = n
	}
	return peaks
}

// policyFleet is a fleet of sidecars that follow a policy, with relays to the registry and clients that
// keep each sidecar busy.
type policyFleet struct {
	*rig
	server *countingServer
	names  []string
	addrs  map[string]string
	// Folders of the policy stores, by sidecar.
	folders map[string]string

	stop     context.CancelFunc
	clients  sync.WaitGroup
	sent     atomic.Int64
	served   atomic.Int64
	lost     atomic.Int64
	runTwice atomic.Int64

	mu        sync.Mutex
	durations []time.Duration // durations of the served requests, since the last reset
}

func startPolicyFleet(t testing.TB, seed uint64, sidecars int, folder bool, machine string) *policyFleet {
	t.Helper()
	o := startCountingServer(t)
	r := &rig{t: t}
	g := &policyFleet{rig: r, server: o, addrs: make(map[string]string), folders: make(map[string]string)}
	r.prepare(seed)
	for i := range 2 {
		r.addController(fmt.Sprint("k", i), "keeper", fmt.Sprintf("[policy]\nmachine = %q\n", machine))
	}
	for i := range sidecars {
		name := fmt.Sprint("n", i)
		addr := freeAddr(t)
		var routes, addrs []string
		for _, m := range r.members {
			r.addLink(name+">"+m.ID, name, m.HTTP)
			routes = append(routes, m.HTTP+"="+r.routes[name][m.HTTP])
			addrs = append(addrs, m.HTTP)
		}
		policy := map[string]any{"registry": addrs, "routes": routes, "lease_ms": leaseMS}
		if machine != "" {
			policy["machine"] = machine
		}
		if folder {
			g.folders[name] = t.TempDir()
			policy["folder"] = g.folders[name]
		}
		path := writeFile(t, name+".json", map[string]any{
			"name": name, "listen": addr, "discovery": r.members[0].HTTP, "discovery_replicas": []string{r.members[1].HTTP, r.members[2].HTTP}, "seed": fmt.Sprintf("%x", i+1),
			"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 512}, "policy": policy,
			"settings": map[string]any{
				"balancers": 1, "zones": []string{"a"}, "discovery": "push", "orgs": []any{map[string]any{"name": "t", "share": 1, "quota_per_s": 400}},
				"caps":    map[string]any{"most_tries": 2, "dial_timeout_ms": 250, "conn_idle_ms": 30000, "max_retry_after_ms": 500},
				"classes": []any{map[string]any{"name": "once", "semantics": "single_shot", "aim_ms": 2000, "hard_limit_ms": 5000, "worth": 1}},
			},
		})
		g.names, g.addrs[name] = append(g.names, name), addr
		r.addProcess(name, "sidecar", "ROUTER_CONFIG="+path)
	}
	for _, p := range r.Processes {
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
	}
	c := r.client()
	in := registry.Instance{Host: "s", Dial: o.addr, Site: "a", Health: registry.HealthUp, Share: 1}
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	if _, err := c.Register(ctx, registry.RegisterRequest{Instance: in}); err != nil {
		t.Fatal(err)
	}
	g.awaitServing()
	return g
}

func (g *policyFleet) serves(name string) bool {
	resp, err := http.Get("http://" + g.addrs[name] + "/health/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (g *policyFleet) awaitServing() {
	g.t.Helper()
	for _, n := range g.names {
		eventually(g.t, n+" serves", func() bool { return g.serves(n) })
	}
}

// startClients starts clients that send each sidecar more requests than any policy of the tests admits.
func (g *policyFleet) startClients(clients int) {
	ctx, cancel := context.WithCancel(context.Background())
	g.stop = cancel
	for _, name := range g.names {
		for j := range clients {
			g.clients.Go(func() {
				c := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
				defer c.CloseIdleConnections()
				for n := 0; ctx.Err() == nil; n++ {
					g.send(c, name, fmt.Sprintf("%s/%d/%d", name, j, n))
				}
			})
		}
	}
	g.t.Cleanup(g.stopClients)
}

func (g *policyFleet) stopClients() {
	if g.stop != nil {
		g.stop()
		g.clients.Wait()
	}
}

func (g *policyFleet) send(c *http.Client, name, id string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+g.addrs[name]+"/api", nil)
	if err != nil {
		return
	}
	req.Header = http.Header{"Request-Id": {id}, "Request-Class": {"once"}, "Request-Timeout": {"4.5"}, "Tenant": {"t"}}
	g.sent.Add(1)
	began := time.Now()
	resp, err := c.Do(req)
	if err != nil {
		time.Sleep(20 * time.Millisecond) // the sidecar is down
		return
	}
	text, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	switch {
	case err != nil:
	case resp.StatusCode == http.StatusOK && string(text) == "ok":
		g.served.Add(1)
		g.mu.Lock()
		g.durations = append(g.durations, time.Since(began))
		g.mu.Unlock()
	case resp.StatusCode == http.StatusServiceUnavailable:
		pause, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		time.Sleep(min(30*time.Millisecond, time.Duration(pause*float64(time.Second))))
	default:
		g.lost.Add(1)
	}
}

// policyDocument returns a policy with the given number of slots.
func policyDocument(slots int, mode rollout.Mode) *rollout.Document {
	return &rollout.Document{FormatVersion: 1, Mode: mode, Tenants: []rollout.Tenant{{Name: "t", Slots: slots, QueuePlaces: 2}}}
}

// change proposes a policy and waits for the end of its rollout; it returns the outcome and the number
// of the change.
func (g *policyFleet) change(c *client.Client, d *rollout.Document, within time.Duration) (outcome string, number uint64) {
	g.t.Helper()
	return g.changeWithCanary(c, d, within, 0, 0)
}

// changeWithCanary is like change, with a fraction of the fleet as canaries for a while.
func (g *policyFleet) changeWithCanary(c *client.Client, d *rollout.Document, within time.Duration, canaryFraction float64, canaryWatch time.Duration) (outcome string, number uint64) {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	var st rollout.Status
	for {
		var err error
		if st, err = c.PolicyStatus(ctx, 0, 0); err != nil {
			g.t.Fatal(err)
		}
		_, err = c.ApplyPolicyStep(ctx, rollout.Command{Op: rollout.OpPropose, Document: d, BaseEpoch: st.Epoch, By: "test", Reason: fmt.Sprint(time.Now().UnixNano()), WithinMS: within.Milliseconds(), CanaryFraction: canaryFraction, CanaryWatchMS: canaryWatch.Milliseconds()}, nil)
		if err == nil {
			break
		}
		if !errors.Is(err, registry.ErrConflict) { // the last change has not settled yet
			g.t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	for {
		var err error
		if st, err = c.PolicyStatus(ctx, st.Version, time.Second); err != nil {
			g.t.Fatal(err)
		}
		if n := len(st.History); n > 0 && st.History[n-1].Checksum == d.Checksum() && (st.Change == nil || st.Change.Number == st.History[n-1].Number) && st.History[n-1].Number > number {
			return st.History[n-1].Outcome, st.History[n-1].Number
		}
	}
}

// awaitEpoch waits until each sidecar reports that it applies only the policy of an epoch.
func (g *policyFleet) awaitEpoch(epoch uint64) {
	g.t.Helper()
	for _, n := range g.names {
		eventually(g.t, fmt.Sprintf("%s applies only epoch %d", n, epoch), func() bool {
			resp, err := http.Get("http://" + g.addrs[n] + "/health/policy")
			if err != nil {
				return false
			}
			defer resp.Body.Close()
			text, _ := io.ReadAll(resp.Body)
			return strings.HasPrefix(string(text), fmt.Sprintf("epoch %d,", epoch)) && !strings.Contains(string(text), "joint") && !strings.Contains(string(text), "refusing")
		})
	}
}

// Policy changes under faults: each takes effect on all sidecars or on none, no sidecar has more open
// requests than the old or the new policy allows, and no request is lost or runs twice.
func TestPolicyUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	t.Parallel()
	sidecars, changes := 6, 8
	if long {
		sidecars, changes = 24, 100
	}
	g := startPolicyFleet(t, 1, sidecars, true, "")
	c := g.rig.client()
	outcome, epoch := g.change(c, policyDocument(6, rollout.ModeCarry), eventTimeout)
	if outcome != "committed" {
		t.Fatalf("the first policy: got outcome %s, want committed", outcome)
	}
	g.awaitEpoch(epoch)
	g.startClients(8)
	rng := rand.New(rand.NewPCG(1, 9))
	currentSlots, committed, withoutEffect := 6, 0, 0
	g.server.takePeaks()
	for i := range changes {
		// Faults of one replica, so that a quorum remains, of a controller, and of up to two sidecars.
		targets := []string{"k0", "r" + fmt.Sprint(i%3), g.names[rng.IntN(sidecars)], g.names[rng.IntN(sidecars)]}
		kinds := []faultinjection.FaultKind{faultinjection.Partition, faultinjection.BlockOutbound, faultinjection.BlockInbound, faultinjection.ResetConnections, faultinjection.DropResponses, faultinjection.Pause, faultinjection.Crash}
		var s faultinjection.Schedule
		for j, target := range slices.Compact(targets) {
			s = append(s, faultinjection.Fault{Start: time.Duration(j) * 50 * time.Millisecond, Duration: time.Duration(200+rng.IntN(900)) * time.Millisecond, Kind: kinds[rng.IntN(len(kinds))], Target: target})
		}
		nextSlots := 2 + (currentSlots+1+rng.IntN(5))%7
		ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
		faultsDone := make(chan error, 1)
		go func() { faultsDone <- g.Run(ctx, s) }()
		within := 10 * time.Second
		if i%4 == 3 {
			within = 400 * time.Millisecond // shorter than some faults, so that the change takes effect nowhere
		}
		outcome, number := g.change(c, policyDocument(nextSlots, rollout.ModeCarry), within)
		if err := <-faultsDone; err != nil {
			t.Error(err)
		}
		cancel()
		for sidecar, peak := range g.server.takePeaks() {
			if peak > max(currentSlots, nextSlots) {
				t.Errorf("change %d from %d to %d slots: %s had %d open requests, want at most the larger number; faults %v", number, currentSlots, nextSlots, sidecar, peak, s)
			}
		}
		if outcome == "committed" {
			currentSlots, epoch = nextSlots, number
			committed++
		} else {
			withoutEffect++
		}
		g.awaitEpoch(epoch)
		time.Sleep(2 * holdTime) // requests that were admitted under the earlier policy have ended
		g.server.takePeaks()
		time.Sleep(2 * holdTime)
		for sidecar, peak := range g.server.takePeaks() {
			if peak > currentSlots {
				t.Errorf("after change %d (%s): %s has %d open requests, want at most %d", number, outcome, sidecar, peak, currentSlots)
			}
		}
		if t.Failed() {
			t.Fatalf("at change %d, with the faults %v", i, s)
		}
	}
	g.stopClients()
	g.server.mu.Lock()
	for id, n := range g.server.ran {
		if n > 1 {
			g.runTwice.Add(1)
			t.Logf("%s ran %d times", id, n)
		}
	}
	g.server.mu.Unlock()
	injected := 0
	for _, n := range g.Injected {
		injected += n
	}
	t.Logf("%d changes, %d committed, %d without effect; %d faults %v; %d requests sent, %d served, %d lost, %d run twice", changes, committed, withoutEffect, injected, g.Injected, g.sent.Load(), g.served.Load(), g.lost.Load(), g.runTwice.Load())
	if committed < changes/3 || injected < 2*changes || g.served.Load() < int64(20*changes) || g.lost.Load() > 0 || g.runTwice.Load() > 0 {
		t.Error("too little was observed for a verdict, or requests were lost or ran twice")
	}
}

// A sidecar is cut off. In mode carry, a change waits for it and takes effect nowhere. In mode refuse,
// the sidecar refuses new requests when its lease has ended, and the change continues without it.
func TestPolicyWithSidecarCutOff(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	t.Parallel()
	g := startPolicyFleet(t, 2, 3, false, "")
	c := g.rig.client()
	cutOff := func() (heal func() error) {
		t.Helper()
		end, err := g.Inject(faultinjection.Fault{Kind: faultinjection.Partition, Target: "n0"})
		if err != nil {
			t.Fatal(err)
		}
		return end
	}
	outcome, first := g.change(c, policyDocument(6, rollout.ModeCarry), eventTimeout)
	if outcome != "committed" {
		t.Fatal(outcome)
	}
	g.awaitEpoch(first)
	heal := cutOff()
	if outcome, _ := g.change(c, policyDocument(3, rollout.ModeCarry), 2*time.Second); !strings.Contains(outcome, "n0") {
		t.Errorf("with n0 cut off in mode carry: got outcome %s, want one that names n0", outcome)
	}
	if !g.serves("n0") {
		t.Error("n0 does not serve, want it to continue in mode carry")
	}
	if err := heal(); err != nil {
		t.Fatal(err)
	}
	g.awaitEpoch(first)
	outcome, second := g.change(c, policyDocument(5, rollout.ModeRefuse), eventTimeout)
	if outcome != "committed" {
		t.Fatal(outcome)
	}
	g.awaitEpoch(second)
	heal = cutOff()
	eventually(t, "n0 refuses", func() bool { return !g.serves("n0") })
	outcome, third := g.change(c, policyDocument(4, rollout.ModeRefuse), eventTimeout)
	if outcome != "committed" {
		t.Errorf("with n0 cut off in mode refuse: got outcome %s, want committed", outcome)
	}
	if g.serves("n0") {
		t.Error("n0 serves while it is cut off in mode refuse")
	}
	if err := heal(); err != nil {
		t.Fatal(err)
	}
	g.awaitEpoch(third)
	g.awaitServing()
	// A change does not wait for a sidecar that has shut down gracefully. It waits for a paused one until
	// its lease has ended.
	if err := g.Processes["n1"].Terminate(eventTimeout); err != nil {
		t.Errorf("n1 did not shut down gracefully: %v", err)
	}
	if err := g.Processes["n2"].Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	outcome, fourth := g.change(c, policyDocument(6, rollout.ModeCarry), eventTimeout)
	if outcome != "committed" {
		t.Errorf("with n1 ended and n2 stopped past its lease: got outcome %s, want committed", outcome)
	}
	if err := g.Processes["n2"].Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	if err := g.Processes["n1"].Start(); err != nil {
		t.Fatal(err)
	}
	g.awaitEpoch(fourth)
}

// Canaries apply a policy first and are compared with the other sidecars: a policy under which they
// refuse many more requests is aborted automatically, another is committed. Then a sidecar's process is
// killed: a controller on its machine detects that, and no change waits for the sidecar.
func TestPolicyCanariesAndEndedProcess(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	t.Parallel()
	g := startPolicyFleet(t, 4, 4, false, "m")
	c := g.rig.client()
	outcome, first := g.change(c, policyDocument(8, rollout.ModeCarry), eventTimeout)
	if outcome != "committed" {
		t.Fatal(outcome)
	}
	g.awaitEpoch(first)
	g.startClients(6)
	if outcome, _ := g.changeWithCanary(c, policyDocument(1, rollout.ModeCarry), eventTimeout, 0.25, 3*time.Second); !strings.Contains(outcome, "went ahead") || !strings.Contains(outcome, "refused") {
		t.Errorf("a policy that refuses many more requests: got outcome %s, want an abort because of the canaries", outcome)
	}
	g.awaitEpoch(first)
	outcome, second := g.changeWithCanary(c, policyDocument(7, rollout.ModeCarry), eventTimeout, 0.25, 2*time.Second)
	if outcome != "committed" {
		t.Errorf("a policy that changes little: got outcome %s, want committed", outcome)
	}
	g.awaitEpoch(second)
	g.Processes["n0"].Kill()
	if outcome, _ = g.change(c, policyDocument(6, rollout.ModeCarry), eventTimeout); outcome != "committed" {
		t.Errorf("with the process of n0 killed: got outcome %s, want committed", outcome)
	}
	if !strings.Contains(g.Processes["k0"].Output()+g.Processes["k1"].Output(), "policy: sidecar process ended") {
		t.Error("no controller has logged the end of n0")
	}
	if g.stopClients(); g.served.Load() < 200 {
		t.Errorf("%d requests were served, want at least 200", g.served.Load())
	}
}

// All replicas of the registry are killed: sidecars in mode carry continue, and a sidecar that starts
// meanwhile serves with the policy from its store.
func TestPolicyWithoutRegistry(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	t.Parallel()
	g := startPolicyFleet(t, 3, 2, true, "")
	c := g.rig.client()
	outcome, epoch := g.change(c, policyDocument(4, rollout.ModeCarry), eventTimeout)
	if outcome != "committed" {
		t.Fatal(outcome)
	}
	g.awaitEpoch(epoch)
	for _, m := range g.members {
		g.Processes[m.ID].Kill()
	}
	g.Processes["n1"].Kill()
	if err := g.Processes["n1"].Start(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "n1 serves with the policy from its store", func() bool { return strings.Contains(g.Processes["n1"].Output(), "serving by the policy store") })
	if !g.serves("n0") {
		t.Error("n0 does not serve, want it to continue in mode carry")
	}
	for _, m := range g.members {
		if err := g.Processes[m.ID].Start(); err != nil {
			t.Fatal(err)
		}
	}
	g.awaitEpoch(epoch)
	outcome, epoch = g.change(c, policyDocument(3, rollout.ModeCarry), eventTimeout)
	if outcome != "committed" {
		t.Error(outcome)
	}
	g.awaitEpoch(epoch)
	// A sidecar that cannot store a policy refuses the change and continues to serve.
	if err := os.RemoveAll(g.folders["n0"]); err != nil {
		t.Fatal(err)
	}
	if outcome, _ = g.change(c, policyDocument(5, rollout.ModeCarry), eventTimeout); !strings.Contains(outcome, "refused by n0: policy: keep what is held") {
		t.Error(outcome)
	}
	g.awaitEpoch(epoch)
}
