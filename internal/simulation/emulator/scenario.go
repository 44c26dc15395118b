// Package emulator is a model of what a sidecar lives among: booking servers in
// zones, the list service, the network and the clients, with the troubles that
// befall them. Sim runs the real decision module of each sidecar against it in
// simulated time, in one goroutine and the same on every run; Checker judges the
// four rules from what it is told and shares no code with what it judges.
//
// The model follows the protocol's public description. docs/EMULATOR.md says what
// it leaves out and where it had to guess.
package emulator

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"time"

	"barleywick/internal/configfile"
	"barleywick/policy"
)

// Duration is a duration that a scenario file writes as text: "1.5s", "250ms".
type Duration time.Duration

// UnmarshalText reads a duration.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration: write \"1.5s\" or \"250ms\"", text)
	}
	*s = Duration(d)
	return nil
}

// MarshalText writes it as a scenario file has it.
func (s Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

func (s Duration) seconds() float64 { return time.Duration(s).Seconds() }

// Scenario is one day to be played: how much there is of everything, and what goes
// wrong. Base gives one whose figures are those of the deployment this project
// serves; a file or a program changes what it needs to.
type Scenario struct {
	Name           string        `toml:"name"`
	Length         Duration      `toml:"length"`   // of the arrivals; the day goes on until all is answered
	Sidecars       int           `toml:"sidecars"` // one beside each client
	Servers        int           `toml:"servers"`
	Zones          []string      `toml:"zones"`
	Load           float64       `toml:"load"`   // work asked for, in parts of what all servers can do
	Slots          int           `toml:"slots"`  // of each sidecar over all compartments; 0: derived from the quotas
	OverloadAdvice bool          `toml:"advice"` // a task of the fleet's gives its word on an overload (docs/OVERLOAD.md)
	IdealPolicy    string        `toml:"oracle"` // what every sidecar is told that it cannot know: load, admission; empty: nothing
	Network        Network       `toml:"network"`
	List           ListService   `toml:"list"`
	Clients        Clients       `toml:"clients"`
	Classes        []Class       `toml:"classes"`
	Tenants        []Tenant      `toml:"tenants"`
	Kinds          []MachineKind `toml:"kinds"`
	Keys           Keys          `toml:"keys"`
	Rules          Rules         `toml:"rules"`
	Prices         Prices        `toml:"prices"`
	Faults         []Fault       `toml:"troubles"`
}

// Network is the time that messages take, and connections.
type Network struct {
	NearDelay          Duration `toml:"near"`   // one way within a zone
	FarDelay           Duration `toml:"far"`    // one way between zones
	Jitter             float64  `toml:"jitter"` // part of it that varies, evenly
	ConnectTimeout     Duration `toml:"connect_within"`
	IdleTimeout        Duration `toml:"idle_for"`  // a sidecar keeps an idle connection so long
	HandshakeWork      Duration `toml:"handshake"` // work that a new connection costs a server
	ConnectionsPerCore int      `toml:"per_core"`  // connections that a server accepts for each core
}

// ListService is the service that tells sidecars of the servers.
type ListService struct {
	RemovalDelay  Duration `toml:"notice"`    // it learns so late that a server drains or is gone
	AdditionDelay Duration `toml:"add"`       // and so late of a new one
	Period        Duration `toml:"period"`    // watches bring what changed so often
	PerMS         float64  `toml:"per_ms"`    // lines it can send in a millisecond, for calls
	PerCall       int      `toml:"per_call"`  // lines that a call costs on top of those it brings
	MaxWait       Duration `toml:"wait_most"` // a call that waited longer fails
}

// Clients is how the callers behave.
type Clients struct {
	TrafficCV        float64  `toml:"uneven"`     // coefficient of variation of the sidecars' traffic
	ZoneSkew         float64  `toml:"zone_skew"`  // part of the traffic that moves to the first zone
	Swing            float64  `toml:"swing"`      // of the daily wave, in parts of the mean
	SwingTime        Duration `toml:"swing_time"` // length of one wave
	Retries          int      `toml:"retries"`    // further tries of a client
	AttemptShare     float64  `toml:"try_share"`  // of the time left, that one try may take
	Backoff          Duration `toml:"backoff"`    // before the first further try; doubled each time
	HonourRetryAfter float64  `toml:"honour"`     // part of the clients that heed Retry-After
	AbandonRate      float64  `toml:"leave"`      // part of the tries that the client leaves early
}

// Class is one kind of request.
type Class struct {
	Name             string   `toml:"name"`
	Share            float64  `toml:"share"`
	Work             Duration `toml:"work"`   // mean, on a core of speed 1
	WorkCV           float64  `toml:"spread"` // coefficient of variation
	Tail             string   `toml:"tail"`   // "lognormal" or "pareto"
	LatencyObjective Duration `toml:"aim"`
	Deadline         Duration `toml:"deadline"`
	PriorityWeight   float64  `toml:"worth"`
	LateShare        float64  `toml:"late_worth"` // part of the worth that an answer after the aim has
	Idempotency      string   `toml:"effect"`     // "safe", "keyed" or "unsafe"
	DedupScope       string   `toml:"group"`      // keyed: who drops repeats: "all", "zone" or "cell"
	DedupWindow      Duration `toml:"window"`     // keyed: how long
}

// Tenant is a customer with a share.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Usage float64 `toml:"usage"` // what it asks for, in parts of its share
}

// MachineKind is a kind of machine.
type MachineKind struct {
	Name            string   `toml:"name"`
	Share           float64  `toml:"share"`
	Cores           int      `toml:"cores"`
	Speed           float64  `toml:"speed"`
	SpeedCV         float64  `toml:"speed_cv"`
	Slots           int      `toml:"slots"`      // requests in work for each core
	QueueCapacity   int      `toml:"room"`       // that wait, for each core
	Crowding        float64  `toml:"crowding"`   // efficiency lost for each request held above CrowdedAt
	CrowdedAt       float64  `toml:"crowded_at"` // requests held for each core
	SlowStartFloor  float64  `toml:"cold_from"`
	SlowStartWindow Duration `toml:"cold_for"`
	ErrorRate       float64  `toml:"errors"`       // part of the requests that fail on a good day
	DropsLate       bool     `toml:"drops_late"`   // it turns away what is over already when its turn comes
	ConnectionCost  float64  `toml:"full_tax"`     // part of the capacity that a full table of connections takes
	ReportInterval  Duration `toml:"report"`       // load reports are made so often
	ReportNoise     float64  `toml:"report_noise"` // and are off by such a part
}

// Keys is what requests concern.
type Keys struct {
	Count      int      `toml:"count"`
	Zipf       float64  `toml:"zipf"`     // exponent of their popularity
	WarmSaving float64  `toml:"gain"`     // part of the work saved where a cell met the key lately
	WarmWindow Duration `toml:"for"`      // lately
	PerCore    int      `toml:"per_core"` // keys that a cell remembers for each core
	CellSize   int      `toml:"cell"`     // servers in a cell
}

// Rules are the figures of the four rules.
type Rules struct {
	AnswerSlack    Duration `toml:"answer_slack"`
	DrainGrace     Duration `toml:"stop_within"`
	PollDeadline   Duration `toml:"ask_within"`
	OverloadFactor float64  `toml:"fall_multiple"`
	OverloadWindow Duration `toml:"fall_time"`
	MaxAttempts    int      `toml:"most_tries"`
	RetryAfter     Duration `toml:"retry_after"` // the longest that clients heed
}

// Prices are points of the result: each is taken off times its share or rate.
type Prices struct {
	CrossZone float64 `toml:"cross_zone"`
	Waste     float64 `toml:"waste"`
	Probe     float64 `toml:"probe"`
	Handshake float64 `toml:"handshake"`
	LateFail  float64 `toml:"late_fail"`
	OverShare float64 `toml:"over_share"` // worth of what a tenant asks beyond its share
}

// DefaultScenario is a fleet whose figures lie in the middle of what the operators state of theirs.
func DefaultScenario() *Scenario {
	s := &Scenario{
		Name: "calm", Length: Duration(30 * time.Second), Sidecars: 30, Servers: 20,
		Zones: []string{"milano-a", "torino-b"}, Load: 0.7,
		Network: Network{NearDelay: milliseconds(0.2), FarDelay: milliseconds(10), Jitter: 0.2, ConnectTimeout: milliseconds(250), IdleTimeout: milliseconds(15000), HandshakeWork: milliseconds(4), ConnectionsPerCore: 750},
		List:    ListService{RemovalDelay: milliseconds(2200), AdditionDelay: milliseconds(1200), Period: milliseconds(800), PerMS: 4, PerCall: 50, MaxWait: milliseconds(1000)},
		Clients: Clients{TrafficCV: 1, ZoneSkew: 0.15, Swing: 0.12, SwingTime: milliseconds(20000), Retries: 2, AttemptShare: 0.6, Backoff: milliseconds(300), HonourRetryAfter: 0.8, AbandonRate: 0.01},
		Classes: []Class{
			{Name: "hold-slot", Share: 0.61, Work: milliseconds(90), WorkCV: 2, Tail: "lognormal", LatencyObjective: milliseconds(1500), Deadline: milliseconds(6000), PriorityWeight: 5, LateShare: 0.5, Idempotency: "keyed", DedupScope: "zone", DedupWindow: milliseconds(4000)},
			{Name: "confirm-visit", Share: 0.39, Work: milliseconds(90), WorkCV: 2, Tail: "pareto", LatencyObjective: milliseconds(1200), Deadline: milliseconds(3000), PriorityWeight: 3, LateShare: 0.25, Idempotency: "unsafe"},
		},
		Keys:   Keys{Count: 700, Zipf: 0.75, WarmSaving: 0.5, WarmWindow: milliseconds(7000), PerCore: 16, CellSize: 6},
		Rules:  Rules{AnswerSlack: milliseconds(70), DrainGrace: milliseconds(3000), PollDeadline: milliseconds(10000), OverloadFactor: 3, OverloadWindow: milliseconds(2000), MaxAttempts: 4, RetryAfter: milliseconds(2000)},
		Prices: Prices{CrossZone: 0.026, Waste: 0.3, Probe: 0.05, Handshake: 0.08, LateFail: 0.057, OverShare: 0.1},
		Kinds: []MachineKind{
			{Name: "single-fast", Share: 0.63, Cores: 1, Speed: 1.5, SpeedCV: 0.15, Slots: 1, QueueCapacity: 26, CrowdedAt: 9, SlowStartFloor: 0.45, SlowStartWindow: milliseconds(6000), ErrorRate: 0.001, ConnectionCost: 0.25, ReportInterval: milliseconds(50), ReportNoise: 0.02},
			{Name: "dual-std", Share: 0.37, Cores: 2, Speed: 1, SpeedCV: 0.1, Slots: 1, QueueCapacity: 20, CrowdedAt: 9, SlowStartFloor: 0.45, SlowStartWindow: milliseconds(6000), ErrorRate: 0.001, ConnectionCost: 0.25, ReportInterval: milliseconds(50), ReportNoise: 0.02},
		},
	}
	for i, share := range []float64{0.2, 0.18, 0.15, 0.14, 0.13, 0.12, 0.08} {
		s.Tenants = append(s.Tenants, Tenant{Name: fmt.Sprintf("tenant-%d", i+1), Share: share, Usage: 1})
	}
	return s
}

// milliseconds is a number of milliseconds.
func milliseconds(ms float64) Duration { return Duration(ms * float64(time.Millisecond)) }

// ReadScenario reads a scenario file: TOML that changes what Base has. A key that is not
// known, a wrong type and a figure that cannot be are refused, with line and field.
func ReadScenario(r io.Reader) (*Scenario, error) {
	text, err := io.ReadAll(io.LimitReader(r, maxFile+1))
	if err != nil {
		return nil, fmt.Errorf("read scenario: %w", err)
	}
	if len(text) > maxFile {
		return nil, fmt.Errorf("scenario: more than %d bytes", maxFile)
	}
	s := DefaultScenario()
	if err := configfile.TOML(text, s); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return s, s.Check()
}

// maxFile is far more than any scenario has.
const maxFile = 1 << 20

// LoadScenario reads a scenario file.
func LoadScenario(path string) (*Scenario, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	defer f.Close()
	s, err := ReadScenario(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

const (
	maxSidecars = 10_000
	maxServers  = 10_000
	maxLength   = 2 * time.Hour
)

// Check returns an error that names the first field that cannot be.
func (s *Scenario) Check() error {
	type figure struct {
		name        string
		value       float64
		least, most float64
	}
	for _, f := range []figure{
		{"length", s.Length.seconds(), 0.001, maxLength.Seconds()},
		{"sidecars", float64(s.Sidecars), 1, maxSidecars}, {"servers", float64(s.Servers), 1, maxServers},
		{"zones", float64(len(s.Zones)), 1, 16}, {"load", s.Load, 0, 1000}, {"slots", float64(s.Slots), 0, 1e6},
		{"classes", float64(len(s.Classes)), 1, 64}, {"tenants", float64(len(s.Tenants)), 1, 10_000}, {"kinds", float64(len(s.Kinds)), 1, 64},
		{"network.near", s.Network.NearDelay.seconds(), 0, 10}, {"network.far", s.Network.FarDelay.seconds(), 0, 10},
		{"network.jitter", s.Network.Jitter, 0, 1}, {"network.connect_within", s.Network.ConnectTimeout.seconds(), 0.001, 60},
		{"network.idle_for", s.Network.IdleTimeout.seconds(), 0.001, 3600}, {"network.handshake", s.Network.HandshakeWork.seconds(), 0, 10},
		{"network.per_core", float64(s.Network.ConnectionsPerCore), 1, 1e6},
		{"list.notice", s.List.RemovalDelay.seconds(), 0, 3600}, {"list.add", s.List.AdditionDelay.seconds(), 0, 3600},
		{"list.period", s.List.Period.seconds(), 0.001, 60}, {"list.per_ms", s.List.PerMS, 1e-6, 1e9},
		{"list.per_call", float64(s.List.PerCall), 0, 1e6}, {"list.wait_most", s.List.MaxWait.seconds(), 0.001, 60},
		{"clients.uneven", s.Clients.TrafficCV, 0, 10}, {"clients.zone_skew", s.Clients.ZoneSkew, 0, 1}, {"clients.swing", s.Clients.Swing, 0, 1},
		{"clients.swing_time", s.Clients.SwingTime.seconds(), 0.1, 86400}, {"clients.retries", float64(s.Clients.Retries), 0, 100},
		{"clients.try_share", s.Clients.AttemptShare, 0.01, 1}, {"clients.backoff", s.Clients.Backoff.seconds(), 0.001, 60},
		{"clients.honour", s.Clients.HonourRetryAfter, 0, 1}, {"clients.leave", s.Clients.AbandonRate, 0, 1},
		{"keys.count", float64(s.Keys.Count), 1, 1e6}, {"keys.zipf", s.Keys.Zipf, 0, 5}, {"keys.gain", s.Keys.WarmSaving, 0, 1},
		{"keys.for", s.Keys.WarmWindow.seconds(), 0, 3600}, {"keys.per_core", float64(s.Keys.PerCore), 1, 1e6}, {"keys.cell", float64(s.Keys.CellSize), 1, 1000},
		{"rules.most_tries", float64(s.Rules.MaxAttempts), 1, 100}, {"rules.fall_multiple", s.Rules.OverloadFactor, 1, 1000},
		{"rules.fall_time", s.Rules.OverloadWindow.seconds(), 0.001, 60}, {"rules.answer_slack", s.Rules.AnswerSlack.seconds(), 0, 10},
		{"rules.stop_within", s.Rules.DrainGrace.seconds(), 0, 60}, {"rules.ask_within", s.Rules.PollDeadline.seconds(), 0.1, 3600},
		{"rules.retry_after", s.Rules.RetryAfter.seconds(), 0, 60},
		{"prices.cross_zone", s.Prices.CrossZone, 0, 10}, {"prices.waste", s.Prices.Waste, 0, 10}, {"prices.probe", s.Prices.Probe, 0, 10},
		{"prices.handshake", s.Prices.Handshake, 0, 10}, {"prices.late_fail", s.Prices.LateFail, 0, 10}, {"prices.over_share", s.Prices.OverShare, 0, 1},
	} {
		if !(f.value >= f.least && f.value <= f.most) { // so that no number fails too
			return fmt.Errorf("scenario: %s is %g, it must lie between %g and %g", f.name, f.value, f.least, f.most)
		}
	}
	shares := 0.0
	for i, c := range s.Classes {
		shares += c.Share
		if err := c.check(fmt.Sprintf("classes[%d]", i)); err != nil {
			return err
		}
	}
	for i, t := range s.Tenants {
		if t.Name == "" || !(t.Share > 0) || !(t.Usage >= 0) || math.IsInf(t.Share+t.Usage, 0) {
			return fmt.Errorf("scenario: tenants[%d]: a name, a share above 0 and a usage of 0 or more are needed", i)
		}
	}
	kinds := 0.0
	for i, k := range s.Kinds {
		kinds += k.Share
		if k.Cores < 1 || k.Slots < 1 || k.QueueCapacity < 0 || !(k.Speed > 0) || !(k.SpeedCV >= 0) || !(k.Share >= 0) || !(k.SlowStartFloor > 0 && k.SlowStartFloor <= 1) ||
			k.SlowStartWindow < 0 || !(k.ErrorRate >= 0 && k.ErrorRate <= 1) || !(k.ConnectionCost >= 0 && k.ConnectionCost < 1) || k.ReportInterval <= 0 || !(k.Crowding >= 0) || !(k.ReportNoise >= 0) {
			return fmt.Errorf("scenario: kinds[%d] (%s): a figure is missing or out of range", i, k.Name)
		}
	}
	if !(shares > 0) || !(kinds > 0) {
		return errors.New("scenario: the shares of classes or kinds add up to nothing")
	}
	if err := checkIdealPolicy(s.IdealPolicy); err != nil {
		return err
	}
	for i, t := range s.Faults {
		if err := t.check(s); err != nil {
			return fmt.Errorf("scenario: troubles[%d]: %w", i, err)
		}
	}
	return nil
}

func (c Class) check(at string) error {
	switch {
	case c.Name == "":
		return fmt.Errorf("scenario: %s.name is missing", at)
	case !(c.Share >= 0) || !(c.PriorityWeight >= 0) || !(c.LateShare >= 0 && c.LateShare <= 1) || !(c.WorkCV >= 0):
		return fmt.Errorf("scenario: %s: share, worth, late_worth or spread is out of range", at)
	case c.Work <= 0 || c.LatencyObjective <= 0 || c.Deadline < c.LatencyObjective || c.DedupWindow < 0:
		return fmt.Errorf("scenario: %s: work and aim must be above 0, deadline not under aim", at)
	case !slices.Contains([]string{"lognormal", "pareto"}, c.Tail):
		return fmt.Errorf("scenario: %s.tail is %q; there are lognormal and pareto", at, c.Tail)
	case !slices.Contains([]string{"safe", "keyed", "unsafe"}, c.Idempotency):
		return fmt.Errorf("scenario: %s.effect is %q; there are safe, keyed and unsafe", at, c.Idempotency)
	case c.Idempotency == "keyed" && !slices.Contains([]string{"all", "zone", "cell"}, c.DedupScope):
		return fmt.Errorf("scenario: %s.group is %q; there are all, zone and cell", at, c.DedupScope)
	}
	return nil
}

// capacity is what a kind of machine can do: work a second, on a core of speed 1.
func (k MachineKind) capacity() float64 { return float64(k.Cores) * k.Speed }

// Rate is how many first tries come in a second, over all sidecars.
func (s *Scenario) Rate() float64 {
	capacity, kinds := 0.0, 0.0
	for _, k := range s.Kinds {
		capacity += k.Share * k.capacity()
		kinds += k.Share
	}
	return s.Load * capacity / kinds * float64(s.Servers) / s.meanWork()
}

// meanWork of a request, in seconds.
func (s *Scenario) meanWork() float64 {
	work, shares := 0.0, 0.0
	for _, c := range s.Classes {
		work += c.Share * c.Work.seconds()
		shares += c.Share
	}
	return work / shares
}

// quotaPart is how much of what the servers can do is promised to the tenants.
const quotaPart = 0.82

// Policy is what a sidecar's settings say on this day.
func (s *Scenario) Policy(zone int) policy.Config {
	c := policy.Config{
		Balancers: s.Sidecars, Zone: zone, Slots: s.Slots,
		MaxAttempts: s.Rules.MaxAttempts, MayCancel: true, MayProbe: true, LoadReports: true,
		MaxRetryAfter: time.Duration(s.Rules.RetryAfter), KeyAffinity: s.Keys.WarmSaving > 0,
		PollList: true, PollDeadline: time.Duration(s.Rules.PollDeadline), DrainGrace: time.Duration(s.Rules.DrainGrace), OverloadFactor: s.Rules.OverloadFactor,
		SlowStartFloor: 1, CrossZoneCost: s.Prices.CrossZone,
	}
	for _, k := range s.Kinds {
		c.SlowStartFloor = min(c.SlowStartFloor, k.SlowStartFloor)
		c.SlowStartWindow = max(c.SlowStartWindow, time.Duration(k.SlowStartWindow))
	}
	for _, k := range s.Classes {
		c.Classes = append(c.Classes, policy.Class{
			LatencyObjective: time.Duration(k.LatencyObjective), Deadline: time.Duration(k.Deadline), LateShare: k.LateShare, PriorityWeight: k.PriorityWeight,
			Idempotency: k.idempotency(), DedupScope: k.dedupScope(), DedupWindow: time.Duration(k.DedupWindow),
		})
	}
	for i := range s.Tenants {
		c.Tenants = append(c.Tenants, policy.Tenant{Share: s.Tenants[i].Share, Quota: s.quota(i)})
	}
	return c
}

// quota is a tenant's share in requests a second, over all sidecars.
func (s *Scenario) quota(tenant int) float64 {
	shares := 0.0
	for _, t := range s.Tenants {
		shares += t.Share
	}
	if s.Load == 0 {
		return 0
	}
	return s.Tenants[tenant].Share / shares * s.Rate() / s.Load * quotaPart
}

func (c Class) idempotency() policy.Idempotency {
	return map[string]policy.Idempotency{"safe": policy.Idempotent, "keyed": policy.IdempotentByKey, "unsafe": policy.NonIdempotent}[c.Idempotency]
}

func (c Class) dedupScope() policy.DedupScope {
	return map[string]policy.DedupScope{"all": policy.ScopeAll, "zone": policy.ScopeZone, "cell": policy.ScopeCell}[c.DedupScope]
}
