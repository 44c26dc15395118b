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

// observer stands for all booking servers, and asks nobody: it counts each sidecar's
// open requests by the sidecar that a request's id names.
type observer struct {
	addr string
	gate chan struct{} // where it is set, so many are held at once and the others wait

	mu   sync.Mutex
	open map[string]int
	most map[string]int // by sidecar, since the last look
	ran  map[string]int
}

// observed is how long the observer holds a request.
const observed = 60 * time.Millisecond

func startObserver(t testing.TB) *observer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o := &observer{addr: ln.Addr().String(), open: make(map[string]int), most: make(map[string]int), ran: make(map[string]int)}
	s := &http.Server{Handler: o, ReadHeaderTimeout: patience}
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	return o
}

func (o *observer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	of, _, _ := strings.Cut(id, "/")
	io.Copy(io.Discard, q.Body)
	o.mu.Lock()
	o.ran[id]++
	o.open[of]++
	o.most[of] = max(o.most[of], o.open[of])
	o.mu.Unlock()
	if o.gate != nil && id != "" {
		o.gate <- struct{}{}
		defer func() { <-o.gate }()
	}
	time.Sleep(observed)
	o.mu.Lock()
	o.open[of]--
	o.mu.Unlock()
	w.Header().Set("Content-Length", "2")
	io.WriteString(w, "ok")
}

// look returns the most open requests that each sidecar has had since the last look.
func (o *observer) look() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	was := o.most
	o.most = make(map[string]int)
	for of, n := range o.open {
		o.most[of] = n
	}
	return was
}

// fleet under policy: sidecars with relays to the registry, and clients that keep each
// of them busy.
type policyFleet struct {
	*rig
	o     *observer
	names []string
	addrs map[string]string
	// Where each keeps what it acts by.
	folders map[string]string

	stop   context.CancelFunc
	asking sync.WaitGroup
	sent   atomic.Int64
	served atomic.Int64
	lost   atomic.Int64
	twice  atomic.Int64

	mu    sync.Mutex
	times []time.Duration // of requests served, since they were asked for last
}

func startPolicyFleet(t testing.TB, seed uint64, sidecars int, folder bool, machine string) *policyFleet {
	t.Helper()
	o := startObserver(t)
	r := &rig{t: t}
	g := &policyFleet{rig: r, o: o, addrs: make(map[string]string), folders: make(map[string]string)}
	r.begin(seed)
	for i := range 2 {
		r.addController(fmt.Sprint("k", i), "keeper", fmt.Sprintf("[policy]\nmachine = %q\n", machine))
	}
	for i := range sidecars {
		name := fmt.Sprint("n", i)
		addr := freeAddr(t)
		var routes, addrs []string
		for _, m := range r.members {
			r.reach(name+">"+m.ID, name, m.HTTP)
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
		r.process(name, "sidecar", "ROUTER_CONFIG="+path)
	}
	for _, p := range r.Processes {
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
	}
	c := r.client()
	in := registry.Instance{Host: "s", Dial: o.addr, Site: "a", Health: registry.HealthUp, Share: 1}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if _, err := c.Register(ctx, registry.RegisterRequest{Instance: in}); err != nil {
		t.Fatal(err)
	}
	g.allServe()
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

func (g *policyFleet) allServe() {
	g.t.Helper()
	for _, n := range g.names {
		eventually(g.t, n+" serves", func() bool { return g.serves(n) })
	}
}

// load has clients ask each sidecar for more than any policy lets through.
func (g *policyFleet) load(clients int) {
	ctx, cancel := context.WithCancel(context.Background())
	g.stop = cancel
	for _, name := range g.names {
		for j := range clients {
			g.asking.Go(func() {
				c := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
				defer c.CloseIdleConnections()
				for n := 0; ctx.Err() == nil; n++ {
					g.once(c, name, fmt.Sprintf("%s/%d/%d", name, j, n))
				}
			})
		}
	}
	g.t.Cleanup(g.end)
}

func (g *policyFleet) end() {
	if g.stop != nil {
		g.stop()
		g.asking.Wait()
	}
}

func (g *policyFleet) once(c *http.Client, name, id string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+g.addrs[name]+"/api", nil)
	if err != nil {
		return
	}
	req.Header = http.Header{"Request-Id": {id}, "Request-Class": {"once"}, "Request-Timeout": {"4.5"}, "Tenant": {"t"}}
	g.sent.Add(1)
	began := time.Now()
	resp, err := c.Do(req)
	if err != nil {
		time.Sleep(20 * time.Millisecond) // its sidecar is down
		return
	}
	text, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	switch {
	case err != nil:
	case resp.StatusCode == http.StatusOK && string(text) == "ok":
		g.served.Add(1)
		g.mu.Lock()
		g.times = append(g.times, time.Since(began))
		g.mu.Unlock()
	case resp.StatusCode == http.StatusServiceUnavailable:
		pause, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		time.Sleep(min(30*time.Millisecond, time.Duration(pause*float64(time.Second))))
	default:
		g.lost.Add(1)
	}
}

// doc is a policy of so many slots.
func doc(slots int, mode rollout.Mode) *rollout.Document {
	return &rollout.Document{FormatVersion: 1, Mode: mode, Tenants: []rollout.Tenant{{Name: "t", Slots: slots, QueuePlaces: 2}}}
}

// change proposes a policy and returns when it is over, with what became of it.
func (g *policyFleet) change(c *client.Client, d *rollout.Document, within time.Duration) (outcome string, number uint64) {
	g.t.Helper()
	return g.changeFirst(c, d, within, 0, 0)
}

// changeFirst is change with a part that goes ahead for a while.
func (g *policyFleet) changeFirst(c *client.Client, d *rollout.Document, within time.Duration, first float64, watch time.Duration) (outcome string, number uint64) {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var st rollout.Status
	for {
		var err error
		if st, err = c.PolicyStatus(ctx, 0, 0); err != nil {
			g.t.Fatal(err)
		}
		_, err = c.ApplyPolicyStep(ctx, rollout.Command{Op: rollout.OpPropose, Document: d, BaseEpoch: st.Epoch, By: "test", Reason: fmt.Sprint(time.Now().UnixNano()), WithinMS: within.Milliseconds(), CanaryFraction: first, CanaryWatchMS: watch.Milliseconds()}, nil)
		if err == nil {
			break
		}
		if !errors.Is(err, registry.ErrConflict) { // the last one settles still
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

// everywhere waits until each sidecar that is up says that it acts by an epoch alone.
func (g *policyFleet) everywhere(epoch uint64) {
	g.t.Helper()
	for _, n := range g.names {
		eventually(g.t, fmt.Sprintf("%s acts by epoch %d", n, epoch), func() bool {
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

// Changes of policy with faults: each takes hold everywhere or nowhere, no sidecar has
// more open requests than the old and the new policy allow, none is lost or doubled.
func TestPolicyUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts real processes")
	}
	t.Parallel()
	sidecars, changes := 6, 8
	if long {
		sidecars, changes = 24, 100
	}
	g := startPolicyFleet(t, 1, sidecars, true, "")
	c := g.rig.client()
	outcome, epoch := g.change(c, doc(6, rollout.ModeCarry), patience)
	if outcome != "committed" {
		t.Fatalf("the first policy: %s", outcome)
	}
	g.everywhere(epoch)
	g.load(8)
	rng := rand.New(rand.NewPCG(1, 9))
	inForce, committed, nowhere := 6, 0, 0
	g.o.look()
	for i := range changes {
		// At most a quorum less one of the replicas, a controller and a few sidecars.
		of := []string{"k0", "r" + fmt.Sprint(i%3), g.names[rng.IntN(sidecars)], g.names[rng.IntN(sidecars)]}
		kinds := []faultinjection.FaultKind{faultinjection.Partition, faultinjection.BlockOutbound, faultinjection.BlockInbound, faultinjection.ResetConnections, faultinjection.DropResponses, faultinjection.Pause, faultinjection.Crash}
		var s faultinjection.Schedule
		for j, who := range slices.Compact(of) {
			s = append(s, faultinjection.Fault{Start: time.Duration(j) * 50 * time.Millisecond, Duration: time.Duration(200+rng.IntN(900)) * time.Millisecond, Kind: kinds[rng.IntN(len(kinds))], Target: who})
		}
		next := 2 + (inForce+1+rng.IntN(5))%7
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		played := make(chan error, 1)
		go func() { played <- g.Run(ctx, s) }()
		within := 10 * time.Second
		if i%4 == 3 {
			within = 400 * time.Millisecond // too short for some faults: it takes hold nowhere
		}
		outcome, number := g.change(c, doc(next, rollout.ModeCarry), within)
		if err := <-played; err != nil {
			t.Error(err)
		}
		cancel()
		for of, most := range g.o.look() {
			if most > max(inForce, next) {
				t.Errorf("change %d from %d to %d slots: %s had %d open requests; %v", number, inForce, next, of, most, s)
			}
		}
		if outcome == "committed" {
			inForce, epoch = next, number
			committed++
		} else {
			nowhere++
		}
		g.everywhere(epoch)
		time.Sleep(2 * observed) // what was taken under the walls before has ended
		g.o.look()
		time.Sleep(2 * observed)
		for of, most := range g.o.look() {
			if most > inForce {
				t.Errorf("after change %d (%s): %s has %d open requests, %d are allowed", number, outcome, of, most, inForce)
			}
		}
		if t.Failed() {
			t.Fatalf("at change %d: %v", i, s)
		}
	}
	g.end()
	g.o.mu.Lock()
	for id, n := range g.o.ran {
		if n > 1 {
			g.twice.Add(1)
			t.Logf("%s ran %d times", id, n)
		}
	}
	g.o.mu.Unlock()
	done := 0
	for _, n := range g.Injected {
		done += n
	}
	t.Logf("%d changes, %d committed, %d nowhere; %d faults %v; %d requests asked, %d served, %d lost, %d doubled", changes, committed, nowhere, done, g.Injected, g.sent.Load(), g.served.Load(), g.lost.Load(), g.twice.Load())
	if committed < changes/3 || done < 2*changes || g.served.Load() < int64(20*changes) || g.lost.Load() > 0 || g.twice.Load() > 0 {
		t.Error("too little was seen, or something was lost or doubled")
	}
}

// A sidecar that is cut off: under carry a change waits for it and takes hold nowhere;
// under refuse it refuses new requests when its lease has ended, and the change goes on.
func TestPolicyCutOff(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts real processes")
	}
	t.Parallel()
	g := startPolicyFleet(t, 2, 3, false, "")
	c := g.rig.client()
	cut := func() (heal func() error) {
		t.Helper()
		end, err := g.Inject(faultinjection.Fault{Kind: faultinjection.Partition, Target: "n0"})
		if err != nil {
			t.Fatal(err)
		}
		return end
	}
	outcome, first := g.change(c, doc(6, rollout.ModeCarry), patience)
	if outcome != "committed" {
		t.Fatal(outcome)
	}
	g.everywhere(first)
	heal := cut()
	if outcome, _ := g.change(c, doc(3, rollout.ModeCarry), 2*time.Second); !strings.Contains(outcome, "n0") {
		t.Errorf("with n0 cut off: %s", outcome)
	}
	if !g.serves("n0") {
		t.Error("n0 does not carry on")
	}
	if err := heal(); err != nil {
		t.Fatal(err)
	}
	g.everywhere(first)
	outcome, second := g.change(c, doc(5, rollout.ModeRefuse), patience)
	if outcome != "committed" {
		t.Fatal(outcome)
	}
	g.everywhere(second)
	heal = cut()
	eventually(t, "n0 refuses", func() bool { return !g.serves("n0") })
	outcome, third := g.change(c, doc(4, rollout.ModeRefuse), patience)
	if outcome != "committed" {
		t.Errorf("with n0 cut off under refuse: %s", outcome)
	}
	if g.serves("n0") {
		t.Error("n0 serves while it is cut off")
	}
	if err := heal(); err != nil {
		t.Fatal(err)
	}
	g.everywhere(third)
	g.allServe()
	// One that ends in order is waited for by nobody; one whose process is paused is.
	if err := g.Processes["n1"].Terminate(patience); err != nil {
		t.Errorf("n1 ended with %v", err)
	}
	if err := g.Processes["n2"].Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	outcome, fourth := g.change(c, doc(6, rollout.ModeCarry), patience)
	if outcome != "committed" {
		t.Errorf("with n1 gone and n2 stopped past its lease: %s", outcome)
	}
	if err := g.Processes["n2"].Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	if err := g.Processes["n1"].Start(); err != nil {
		t.Fatal(err)
	}
	g.everywhere(fourth)
}

// A part goes ahead and is compared with the rest: a policy that has it refuse much more
// is taken back by itself, one that does not goes on. Then a sidecar's process goes: a
// controller on its machine sees it, and no change waits for it.
func TestPolicyCanaryAndEvidence(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts real processes")
	}
	t.Parallel()
	g := startPolicyFleet(t, 4, 4, false, "m")
	c := g.rig.client()
	outcome, first := g.change(c, doc(8, rollout.ModeCarry), patience)
	if outcome != "committed" {
		t.Fatal(outcome)
	}
	g.everywhere(first)
	g.load(6)
	if outcome, _ := g.changeFirst(c, doc(1, rollout.ModeCarry), patience, 0.25, 3*time.Second); !strings.Contains(outcome, "went ahead") || !strings.Contains(outcome, "refused") {
		t.Errorf("a policy that refuses much more: %s", outcome)
	}
	g.everywhere(first)
	outcome, second := g.changeFirst(c, doc(7, rollout.ModeCarry), patience, 0.25, 2*time.Second)
	if outcome != "committed" {
		t.Errorf("a policy that changes little: %s", outcome)
	}
	g.everywhere(second)
	g.Processes["n0"].Kill()
	if outcome, _ = g.change(c, doc(6, rollout.ModeCarry), patience); outcome != "committed" {
		t.Errorf("with the process of n0 gone: %s", outcome)
	}
	if !strings.Contains(g.Processes["k0"].Output()+g.Processes["k1"].Output(), "policy: sidecar process ended") {
		t.Error("no controller has seen it")
	}
	if g.end(); g.served.Load() < 200 {
		t.Errorf("%d requests were served", g.served.Load())
	}
}

// The loss of the whole registry stops no sidecar under carry, and one that starts
// meanwhile serves by its folder.
func TestPolicyWithoutRegistry(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts real processes")
	}
	t.Parallel()
	g := startPolicyFleet(t, 3, 2, true, "")
	c := g.rig.client()
	outcome, epoch := g.change(c, doc(4, rollout.ModeCarry), patience)
	if outcome != "committed" {
		t.Fatal(outcome)
	}
	g.everywhere(epoch)
	for _, m := range g.members {
		g.Processes[m.ID].Kill()
	}
	g.Processes["n1"].Kill()
	if err := g.Processes["n1"].Start(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "n1 says that it acts by its policy store", func() bool { return strings.Contains(g.Processes["n1"].Output(), "serving by the policy store") })
	if !g.serves("n0") {
		t.Error("n0 does not carry on")
	}
	for _, m := range g.members {
		if err := g.Processes[m.ID].Start(); err != nil {
			t.Fatal(err)
		}
	}
	g.everywhere(epoch)
	outcome, epoch = g.change(c, doc(3, rollout.ModeCarry), patience)
	if outcome != "committed" {
		t.Error(outcome)
	}
	g.everywhere(epoch)
	// One that cannot keep what it is to hold says so, and serves on.
	if err := os.RemoveAll(g.folders["n0"]); err != nil {
		t.Fatal(err)
	}
	if outcome, _ = g.change(c, doc(5, rollout.ModeCarry), patience); !strings.Contains(outcome, "refused by n0: policy: keep what is held") {
		t.Error(outcome)
	}
	g.everywhere(epoch)
}
