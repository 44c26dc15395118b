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

// advisedFleet is sidecars whose fleet has a word on an overload, and clients of two
// tenants: one asks for its share, the other for as much as it can.
type advisedFleet struct {
	*rig
	o     *observer
	names []string
	addrs map[string]string

	stop   context.CancelFunc
	asking sync.WaitGroup

	mu   sync.Mutex
	got  map[string]*taken // by tenant
	lost atomic.Int64
}

// taken is what a tenant's requests have come to.
type taken struct{ asked, inTime, late, refused int }

const (
	advisedAim     = 600 * time.Millisecond
	advisedAtOnce  = 8 // requests that the booking server works on: observed each
	advisedModest  = 1 // clients of the modest tenant at each sidecar, with a pause
	advisedGreedy  = 10
	modestTenant   = "modest"
	greedyTenant   = "greedy"
	modestPause    = 300 * time.Millisecond
	refusedPause   = 30 * time.Millisecond
	advisedRequest = "1.9" // seconds that a client waits
)

// startAdvised starts the fleet; with says whether sidecars take the fleet's word.
func startAdvised(t testing.TB, sidecars int, with bool) *advisedFleet {
	t.Helper()
	f := &advisedFleet{rig: &rig{t: t}, o: startObserver(t), addrs: make(map[string]string), got: make(map[string]*taken)}
	f.o.gate = make(chan struct{}, advisedAtOnce)
	f.begin(1)
	desks := make(map[string]string)
	for i := range 2 {
		name := fmt.Sprint("k", i)
		desks[name] = freeAddr(t)
		f.addController(name, "keeper", fmt.Sprintf("[overload]\nfleet = \"test\"\nlisten = %q\n", desks[name]))
	}
	for i := range sidecars {
		name, addr := fmt.Sprint("n", i), freeAddr(t)
		var addrs, routes []string
		via := func(to, address string) {
			f.reach(name+">"+to, name, address)
			routes = append(routes, address+"="+f.routes[name][address])
		}
		for _, m := range f.members {
			via(m.ID, m.HTTP)
			addrs = append(addrs, m.HTTP)
		}
		for _, k := range f.controllers {
			via(k, desks[k])
		}
		config := map[string]any{
			"name": name, "listen": addr, "discovery": f.members[0].HTTP, "discovery_replicas": []string{f.members[1].HTTP, f.members[2].HTTP}, "seed": fmt.Sprintf("%x", i+1),
			"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 256},
			"settings": map[string]any{
				"balancers": sidecars, "zones": []string{"a"}, "discovery": "push",
				"orgs":    []any{map[string]any{"name": modestTenant, "share": 1, "quota_per_s": 100}, map[string]any{"name": greedyTenant, "share": 1, "quota_per_s": 100}},
				"caps":    map[string]any{"most_tries": 2, "dial_timeout_ms": 250, "conn_idle_ms": 30000, "max_retry_after_ms": 500},
				"classes": []any{map[string]any{"name": "once", "semantics": "single_shot", "aim_ms": advisedAim.Milliseconds(), "hard_limit_ms": 2000, "worth": 1}},
			},
		}
		if with {
			config["overload"] = map[string]any{"registry": addrs, "fleet": "test", "routes": routes}
		}
		f.names, f.addrs[name] = append(f.names, name), addr
		f.process(name, "sidecar", "ROUTER_CONFIG="+writeFile(t, name+".json", config))
	}
	for _, p := range f.Processes {
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if _, err := f.client().Register(ctx, registry.RegisterRequest{Instance: registry.Instance{Host: "s", Dial: f.o.addr, Site: "a", Health: registry.HealthUp, Share: 1}}); err != nil {
		t.Fatal(err)
	}
	for _, n := range f.names {
		eventually(t, n+" serves", func() bool { return strings.HasPrefix(f.says(n, "ready"), "serving") })
	}
	return f
}

// says is what a sidecar answers for people.
func (f *advisedFleet) says(name, what string) string {
	resp, err := http.Get("http://" + f.addrs[name] + "/health/" + what)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return string(text)
}

var underToken = regexp.MustCompile(`under token (\d+)`)

// token is that of the word that a sidecar has; 0: none yet.
func (f *advisedFleet) token(name string) uint64 {
	m := underToken.FindStringSubmatch(f.says(name, "overload"))
	if m == nil {
		return 0
	}
	n, _ := strconv.ParseUint(m[1], 10, 64)
	return n
}

// heard waits until all these sidecars have a word that counts, under a later token.
func (f *advisedFleet) heard(names []string, after uint64) (token uint64) {
	f.t.Helper()
	for _, n := range names {
		eventually(f.t, fmt.Sprintf("%s has a word under a token after %d", n, after), func() bool {
			return f.token(n) > after && !strings.Contains(f.says(n, "overload"), "counts no more")
		})
		token = max(token, f.token(n))
	}
	return token
}

func (f *advisedFleet) load() {
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	for _, name := range f.names {
		for tenant, n := range map[string]int{modestTenant: advisedModest, greedyTenant: advisedGreedy} {
			for j := range n {
				f.asking.Go(func() {
					c := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
					defer c.CloseIdleConnections()
					for i := 0; ctx.Err() == nil; i++ {
						f.once(c, name, tenant, fmt.Sprintf("%s/%s/%d/%d", name, tenant, j, i))
						if tenant == modestTenant {
							time.Sleep(modestPause)
						}
					}
				})
			}
		}
	}
	f.t.Cleanup(f.end)
}

func (f *advisedFleet) end() {
	f.stop()
	f.asking.Wait()
}

func (f *advisedFleet) once(c *http.Client, name, tenant, id string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.addrs[name]+"/api", nil)
	if err != nil {
		return
	}
	req.Header = http.Header{"Request-Id": {id}, "Request-Class": {"once"}, "Request-Timeout": {advisedRequest}, "Tenant": {tenant}}
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
	k := f.got[tenant]
	if k == nil {
		k = new(taken)
		f.got[tenant] = k
	}
	k.asked++
	switch {
	case err == nil && resp.StatusCode == http.StatusOK && string(text) == "ok" && took <= advisedAim:
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

// now is what each tenant has had since the last call of it.
func (f *advisedFleet) now() (modest, greedy taken) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.got[modestTenant]; k != nil {
		modest = *k
	}
	if k := f.got[greedyTenant]; k != nil {
		greedy = *k
	}
	clear(f.got)
	return modest, greedy
}

// The fleet's word while its holder is killed, cut off and stopped, and while a part of
// the sidecars is cut off: each sidecar has the word of the latest holder or none that
// counts, never an earlier one's again, and every request has its one answer.
func TestTheFleetsWordUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts real processes")
	}
	t.Parallel()
	f := startAdvised(t, 16, true)
	c := f.client()
	f.heard(f.names, 0)
	f.load()
	cut := func(n string) bool { return strings.Contains(f.says(n, "overload"), greedyTenant+" 0.") }
	for _, n := range f.names {
		eventually(t, n+" is told to cut the greedy tenant", func() bool { return cut(n) })
		if text := f.says(n, "overload"); strings.Contains(text, modestTenant) {
			t.Errorf("%s: %s", n, text)
		}
	}
	f.now()
	// From now on no sidecar may go back to an earlier holder's word.
	watch, done := make(chan struct{}), make(chan struct{})
	looks := 0
	go func() {
		defer close(done)
		newest := make(map[string]uint64)
		for {
			for _, n := range f.names {
				if now := f.token(n); now != 0 {
					if looks++; now < newest[n] {
						t.Errorf("%s went back from token %d to %d", n, newest[n], now)
					}
					newest[n] = max(newest[n], now)
				}
			}
			select {
			case <-watch:
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
		f.heard(f.names, before)
		modest, greedy := f.now()
		t.Logf("%s of %s: all sidecars have another's word after %v; meanwhile the modest tenant %+v, the greedy one %+v", kind, holder, time.Since(began).Round(10*time.Millisecond), modest, greedy)
		if err := heal(); err != nil {
			t.Fatal(err)
		}
		eventually(t, holder+" is there again", func() bool { return f.leases(c)["keeper:"+holder].Grant != nil })
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
		eventually(t, n+" has no word that counts", func() bool { return strings.Contains(f.says(n, "overload"), "counts no more") })
	}
	f.heard(f.names[len(half):], 0)
	modest, greedy := f.now()
	t.Logf("half of the sidecars cut off: the modest tenant %+v, the greedy one %+v", modest, greedy)
	for _, heal := range heals {
		if err := heal(); err != nil {
			t.Fatal(err)
		}
	}
	f.heard(half, 0)
	f.end()
	close(watch)
	<-done
	f.o.mu.Lock()
	defer f.o.mu.Unlock()
	twice := 0
	for id, n := range f.o.ran {
		if id != "" && n > 1 {
			twice++
		}
	}
	if f.lost.Load() != 0 || twice != 0 || len(f.o.ran) < 500 || looks < 100 || f.Injected[faultinjection.Partition] != 1+len(half) {
		t.Errorf("%d lost, %d twice, of %d; %d looks; faults %v", f.lost.Load(), twice, len(f.o.ran), looks, f.Injected)
	}
}

// What the word brings on real processes: the same load with it and without, in turn.
func TestTheFleetsWordPaired(t *testing.T) {
	if !long {
		t.Skip("it takes minutes: BARLEYWICK_LONG=1")
	}
	const pairs, window = 3, 20 * time.Second
	for pair := range pairs {
		for _, with := range []bool{false, true} {
			t.Run(fmt.Sprintf("pair %d, word %v", pair, with), func(t *testing.T) {
				f := startAdvised(t, 16, with)
				f.load()
				time.Sleep(window / 2) // the load has to show first
				f.now()
				time.Sleep(window)
				modest, greedy := f.now()
				part := func(k taken) float64 { return float64(k.inTime) / float64(max(1, k.asked)) }
				a, b := float64(modest.inTime), float64(greedy.inTime)
				t.Logf("in time: the modest tenant %.3f of %d, the greedy one %.3f of %d; served in time %.0f a second; Jain's index over the two by share %.3f; %d lost",
					part(modest), modest.asked, part(greedy), greedy.asked, (a+b)/window.Seconds(), (a+b)*(a+b)/(2*(a*a+b*b)), f.lost.Load())
				f.end()
				for _, p := range f.Processes {
					p.Signal(syscall.SIGKILL)
				}
			})
		}
	}
}
