package integration

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"barleywick/internal/registry"
	"barleywick/internal/testing/faultinjection"
)

// advisedFleet is a fleet of sidecars that may follow overload advice, with clients of two tenants: one
// stays within its share, the other sends as much as it can.
type advisedFleet struct {
	*rig
	server *countingServer
	names  []string
	addrs  map[string]string

	stop    context.CancelFunc
	clients sync.WaitGroup

	mu     sync.Mutex
	counts map[string]*tenantCounts // by tenant
	lost   atomic.Int64
}

// tenantCounts counts a tenant's requests and their results.
type tenantCounts struct{ asked, inTime, late, refused int }

const (
	advisedObjective   = 600 * time.Millisecond
	advisedConcurrency = 8 // requests that the booking server runs at the same time, each for holdTime
	modestClients      = 1 // clients of the modest tenant at each sidecar; they pause between requests
	greedyClients      = 10
	modestTenant       = "modest"
	greedyTenant       = "greedy"
	modestPause        = 300 * time.Millisecond
	refusedPause       = 30 * time.Millisecond
	advisedTimeout     = "1.9" // Request-Timeout, in seconds
)

// startAdvised starts the fleet. withAdvice: the sidecars follow the overload advice.
func startAdvised(t testing.TB, sidecars int, withAdvice bool) *advisedFleet {
	t.Helper()
	f := &advisedFleet{rig: &rig{t: t}, server: startCountingServer(t), addrs: make(map[string]string), counts: make(map[string]*tenantCounts)}
	f.server.slots = make(chan struct{}, advisedConcurrency)
	f.prepare(1)
	adviceAddrs := make(map[string]string)
	for i := range 2 {
		name := fmt.Sprint("k", i)
		adviceAddrs[name] = freeAddr(t)
		f.addController(name, "keeper", fmt.Sprintf("[overload]\nfleet = \"test\"\nlisten = %q\n", adviceAddrs[name]))
	}
	for i := range sidecars {
		name, addr := fmt.Sprint("n", i), freeAddr(t)
		var addrs, routes []string
		addRoute := func(to, address string) {
			f.addLink(name+">"+to, name, address)
			routes = append(routes, address+"="+f.routes[name][address])
		}
		for _, m := range f.members {
			addRoute(m.ID, m.HTTP)
			addrs = append(addrs, m.HTTP)
		}
		for _, k := range f.controllers {
			addRoute(k, adviceAddrs[k])
		}
		config := map[string]any{
			"name": name, "listen": addr, "discovery": f.members[0].HTTP, "discovery_replicas": []string{f.members[1].HTTP, f.members[2].HTTP}, "seed": fmt.Sprintf("%x", i+1),
			"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 256},
			"settings": map[string]any{
				"balancers": sidecars, "zones": []string{"a"}, "discovery": "push",
				"orgs":    []any{map[string]any{"name": modestTenant, "share": 1, "quota_per_s": 100}, map[string]any{"name": greedyTenant, "share": 1, "quota_per_s": 100}},
				"caps":    map[string]any{"most_tries": 2, "dial_timeout_ms": 250, "conn_idle_ms": 30000, "max_retry_after_ms": 500},
				"classes": []any{map[string]any{"name": "once", "semantics": "single_shot", "aim_ms": advisedObjective.Milliseconds(), "hard_limit_ms": 2000, "worth": 1}},
			},
		}
		if withAdvice {
			config["overload"] = map[string]any{"registry": addrs, "fleet": "test", "routes": routes}
		}
		f.names, f.addrs[name] = append(f.names, name), addr
		f.addProcess(name, "sidecar", "ROUTER_CONFIG="+writeFile(t, name+".json", config))
	}
	for _, p := range f.Processes {
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	if _, err := f.client().Register(ctx, registry.RegisterRequest{Instance: registry.Instance{Host: "s", Dial: f.server.addr, Site: "a", Health: registry.HealthUp, Share: 1}}); err != nil {
		t.Fatal(err)
	}
	for _, n := range f.names {
		eventually(t, n+" serves", func() bool { return strings.HasPrefix(f.health(n, "ready"), "serving") })
	}
	return f
}

// health returns the text of a sidecar's health page, or the empty string.
func (f *advisedFleet) health(name, page string) string {
	resp, err := http.Get("http://" + f.addrs[name] + "/health/" + page)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return string(text)
}

var adviceTokenPattern = regexp.MustCompile(`under token (\d+)`)

// adviceToken returns the token of the advice that a sidecar has, or 0 if it has none.
func (f *advisedFleet) adviceToken(name string) uint64 {
	m := adviceTokenPattern.FindStringSubmatch(f.health(name, "overload"))
	if m == nil {
		return 0
	}
	n, _ := strconv.ParseUint(m[1], 10, 64)
	return n
}

// awaitAdvice waits until the named sidecars have valid advice under a later token, and returns the newest
// token.
func (f *advisedFleet) awaitAdvice(names []string, after uint64) (token uint64) {
	f.t.Helper()
	for _, n := range names {
		eventually(f.t, fmt.Sprintf("%s has valid advice under a token after %d", n, after), func() bool {
			return f.adviceToken(n) > after && !strings.Contains(f.health(n, "overload"), "counts no more")
		})
		token = max(token, f.adviceToken(n))
	}
	return token
}

func (f *advisedFleet) startClients() {
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	for _, name := range f.names {
		for tenant, n := range map[string]int{modestTenant: modestClients, greedyTenant: greedyClients} {
			for j := range n {
				f.clients.Go(func() {
					c := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
					defer c.CloseIdleConnections()
					for i := 0; ctx.Err() == nil; i++ {
						f.send(c, name, tenant, fmt.Sprintf("%s/%s/%d/%d", name, tenant, j, i))
						if tenant == modestTenant {
							time.Sleep(modestPause)
						}
					}
				})
			}
		}
	}
	f.t.Cleanup(f.stopClients)
}

func (f *advisedFleet) stopClients() {
	f.stop()
	f.clients.Wait()
}

func (f *advisedFleet) send(c *http.Client, name, tenant, id string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.addrs[name]+"/api", nil)
	if err != nil {
		return
	}
	req.Header = http.Header{"Request-Id": {id}, "Request-Class": {"once"}, "Request-Timeout": {advisedTimeout}, "Tenant": {tenant}}
	began := time.Now()
	resp, err := c.Do(req)
	if err != nil {
		f.lost.Add(1)
		return
	}
	text, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	took := time.Since(began)
	f.mu.Lock()
	k := f.counts[tenant]
	if k == nil {
		k = new(tenantCounts)
		f.counts[tenant] = k
	}
	k.asked++
	switch {
	case err == nil && resp.StatusCode == http.StatusOK && string(text) == "ok" && took <= advisedObjective:
		k.inTime++
	case err == nil && resp.StatusCode == http.StatusOK && string(text) == "ok":
		k.late++
	case err == nil && resp.StatusCode >= 500:
		k.refused++
	default:
		f.lost.Add(1)
	}
	f.mu.Unlock()
	if resp.StatusCode == http.StatusServiceUnavailable {
		time.Sleep(refusedPause)
	}
}

// takeCounts returns each tenant's counts since the last call.
func (f *advisedFleet) takeCounts() (modest, greedy tenantCounts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.counts[modestTenant]; k != nil {
		modest = *k
	}
	if k := f.counts[greedyTenant]; k != nil {
		greedy = *k
	}
	clear(f.counts)
	return modest, greedy
}

// Overload advice while the controller that issues it is killed, cut off and stopped, and while half
// of the sidecars are cut off. Each sidecar has advice of the latest holder of the lease or none that
// is valid, never goes back to advice of an earlier holder, and every request gets exactly one response.
func TestOverloadAdviceUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	t.Parallel()
	f := startAdvised(t, 16, true)
	c := f.client()
	f.awaitAdvice(f.names, 0)
	f.startClients()
	limited := func(n string) bool { return strings.Contains(f.health(n, "overload"), greedyTenant+" 0.") }
	for _, n := range f.names {
		eventually(t, n+" has advice to limit the greedy tenant", func() bool { return limited(n) })
		if text := f.health(n, "overload"); strings.Contains(text, modestTenant) {
			t.Errorf("%s: the advice names the modest tenant, want only the greedy one: %s", n, text)
		}
	}
	f.takeCounts()
	// From now on no sidecar may go back to the advice of an earlier holder.
	stopWatch, watchEnded := make(chan struct{}), make(chan struct{})
	tokensRead := 0
	go func() {
		defer close(watchEnded)
		newest := make(map[string]uint64)
		for {
			for _, n := range f.names {
				if now := f.adviceToken(n); now != 0 {
					if tokensRead++; now < newest[n] {
						t.Errorf("%s went back from token %d to %d", n, newest[n], now)
					}
					newest[n] = max(newest[n], now)
				}
			}
			select {
			case <-stopWatch:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	for _, kind := range []faultinjection.FaultKind{faultinjection.Crash, faultinjection.Partition, faultinjection.Pause} {
		holder := f.holder(c, "overload")
		before := f.leases(c)["overload"].Grant.Token
		began := time.Now()
		heal, err := f.Inject(faultinjection.Fault{Kind: kind, Target: holder})
		if err != nil {
			t.Fatal(err)
		}
		f.awaitAdvice(f.names, before)
		modest, greedy := f.takeCounts()
		t.Logf("%s of %s: all sidecars have advice of another controller after %v; meanwhile the modest tenant %+v, the greedy one %+v", kind, holder, time.Since(began).Round(10*time.Millisecond), modest, greedy)
		if err := heal(); err != nil {
			t.Fatal(err)
		}
		eventually(t, holder+" holds its lease again", func() bool { return f.leases(c)["keeper:"+holder].Grant != nil })
	}
	half := f.names[:len(f.names)/2]
	var heals []func() error
	for _, n := range half {
		heal, err := f.Inject(faultinjection.Fault{Kind: faultinjection.Partition, Target: n})
		if err != nil {
			t.Fatal(err)
		}
		heals = append(heals, heal)
	}
	for _, n := range half {
		eventually(t, n+" has no valid advice", func() bool { return strings.Contains(f.health(n, "overload"), "counts no more") })
	}
	f.awaitAdvice(f.names[len(half):], 0)
	modest, greedy := f.takeCounts()
	t.Logf("half of the sidecars cut off: the modest tenant %+v, the greedy one %+v", modest, greedy)
	for _, heal := range heals {
		if err := heal(); err != nil {
			t.Fatal(err)
		}
	}
	f.awaitAdvice(half, 0)
	f.stopClients()
	close(stopWatch)
	<-watchEnded
	f.server.mu.Lock()
	defer f.server.mu.Unlock()
	twice := 0
	for id, n := range f.server.ran {
		if id != "" && n > 1 {
			twice++
		}
	}
	if f.lost.Load() != 0 || twice != 0 || len(f.server.ran) < 500 || tokensRead < 100 || f.Injected[faultinjection.Partition] != 1+len(half) {
		t.Errorf("%d requests lost, %d run twice, of %d; %d tokens read; faults %v", f.lost.Load(), twice, len(f.server.ran), tokensRead, f.Injected)
	}
}

// Measures the effect of overload advice on real processes: the same load without and with it, in turn.
func TestOverloadAdvicePaired(t *testing.T) {
	if !long {
		t.Skip("takes minutes: set BARLEYWICK_LONG=1")
	}
	const pairs, window = 3, 20 * time.Second
	for pair := range pairs {
		for _, withAdvice := range []bool{false, true} {
			t.Run(fmt.Sprintf("pair %d, advice %v", pair, withAdvice), func(t *testing.T) {
				f := startAdvised(t, 16, withAdvice)
				f.startClients()
				time.Sleep(window / 2) // the load needs time to take effect
				f.takeCounts()
				time.Sleep(window)
				modest, greedy := f.takeCounts()
				fraction := func(k tenantCounts) float64 { return float64(k.inTime) / float64(max(1, k.asked)) }
				a, b := float64(modest.inTime), float64(greedy.inTime)
				t.Logf("within the latency objective: the modest tenant %.3f of %d, the greedy one %.3f of %d; %.0f a second in total; Jain's index of the two by share %.3f; %d lost",
					fraction(modest), modest.asked, fraction(greedy), greedy.asked, (a+b)/window.Seconds(), (a+b)*(a+b)/(2*(a*a+b*b)), f.lost.Load())
				f.stopClients()
				for _, p := range f.Processes {
					p.Signal(syscall.SIGKILL)
				}
			})
		}
	}
}
