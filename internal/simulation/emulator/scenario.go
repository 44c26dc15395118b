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

// Span is a duration that a scenario file writes as text: "1.5s", "250ms".
type Span time.Duration

// UnmarshalText reads a duration.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration: write \"1.5s\" or \"250ms\"", text)
	}
	*s = Span(d)
	return nil
}

// MarshalText writes it as a scenario file has it.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

func (s Span) seconds() float64 { return time.Duration(s).Seconds() }

// Scenario is one day to be played: how much there is of everything, and what goes
// wrong. Base gives one whose figures are those of the deployment this project
// serves; a file or a program changes what it needs to.
type Scenario struct {
	Name     string    `toml:"name"`
	Length   Span      `toml:"length"`   // of the arrivals; the day goes on until all is answered
	Sidecars int       `toml:"sidecars"` // one beside each client
	Servers  int       `toml:"servers"`
	Zones    []string  `toml:"zones"`
	Load     float64   `toml:"load"`   // work asked for, in parts of what all servers can do
	Slots    int       `toml:"slots"`  // of each sidecar over all compartments; 0: derived from the quotas
	Advice   bool      `toml:"advice"` // a task of the fleet's gives its word on an overload (docs/OVERLOAD.md)
	Oracle   string    `toml:"oracle"` // what every sidecar is told that it cannot know: load, admission; empty: nothing
	Network  Network   `toml:"network"`
	List     List      `toml:"list"`
	Clients  Clients   `toml:"clients"`
	Classes  []Class   `toml:"classes"`
	Tenants  []Tenant  `toml:"tenants"`
	Kinds    []Kind    `toml:"kinds"`
	Keys     Keys      `toml:"keys"`
	Rules    Rules     `toml:"rules"`
	Prices   Prices    `toml:"prices"`
	Troubles []Trouble `toml:"troubles"`
}

// Network is the time that messages take, and connections.
type Network struct {
	Near          Span    `toml:"near"`   // one way within a zone
	Far           Span    `toml:"far"`    // one way between zones
	Jitter        float64 `toml:"jitter"` // part of it that varies, evenly
	ConnectWithin Span    `toml:"connect_within"`
	IdleFor       Span    `toml:"idle_for"`  // a sidecar keeps an idle connection so long
	Handshake     Span    `toml:"handshake"` // work that a new connection costs a server
	PerCore       int     `toml:"per_core"`  // connections that a server accepts for each core
}

// List is the service that tells sidecars of the servers.
type List struct {
	Notice   Span    `toml:"notice"`    // it learns so late that a server drains or is gone
	Add      Span    `toml:"add"`       // and so late of a new one
	Period   Span    `toml:"period"`    // watches bring what changed so often
	PerMS    float64 `toml:"per_ms"`    // lines it can send in a millisecond, for calls
	PerCall  int     `toml:"per_call"`  // lines that a call costs on top of those it brings
	WaitMost Span    `toml:"wait_most"` // a call that waited longer fails
}

// Clients is how the callers behave.
type Clients struct {
	Uneven    float64 `toml:"uneven"`     // coefficient of variation of the sidecars' traffic
	ZoneSkew  float64 `toml:"zone_skew"`  // part of the traffic that moves to the first zone
	Swing     float64 `toml:"swing"`      // of the daily wave, in parts of the mean
	SwingTime Span    `toml:"swing_time"` // length of one wave
	Retries   int     `toml:"retries"`    // further tries of a client
	TryShare  float64 `toml:"try_share"`  // of the time left, that one try may take
	Backoff   Span    `toml:"backoff"`    // before the first further try; doubled each time
	Honour    float64 `toml:"honour"`     // part of the clients that heed Retry-After
	Leave     float64 `toml:"leave"`      // part of the tries that the client leaves early
}

// Class is one kind of request.
type Class struct {
	Name      string  `toml:"name"`
	Share     float64 `toml:"share"`
	Work      Span    `toml:"work"`   // mean, on a core of speed 1
	Spread    float64 `toml:"spread"` // coefficient of variation
	Tail      string  `toml:"tail"`   // "lognormal" or "pareto"
	Aim       Span    `toml:"aim"`
	Deadline  Span    `toml:"deadline"`
	Worth     float64 `toml:"worth"`
	LateWorth float64 `toml:"late_worth"` // part of the worth that an answer after the aim has
	Effect    string  `toml:"effect"`     // "safe", "keyed" or "unsafe"
	Group     string  `toml:"group"`      // keyed: who drops repeats: "all", "zone" or "cell"
	Window    Span    `toml:"window"`     // keyed: how long
}

// Tenant is a customer with a share.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Usage float64 `toml:"usage"` // what it asks for, in parts of its share
}

// Kind is a kind of machine.
type Kind struct {
	Name      string  `toml:"name"`
	Share     float64 `toml:"share"`
	Cores     int     `toml:"cores"`
	Speed     float64 `toml:"speed"`
	SpeedCV   float64 `toml:"speed_cv"`
	Slots     int     `toml:"slots"`      // requests in work for each core
	Room      int     `toml:"room"`       // that wait, for each core
	Crowding  float64 `toml:"crowding"`   // efficiency lost for each request held above CrowdedAt
	CrowdedAt float64 `toml:"crowded_at"` // requests held for each core
	ColdFrom  float64 `toml:"cold_from"`
	ColdFor   Span    `toml:"cold_for"`
	Errors    float64 `toml:"errors"`       // part of the requests that fail on a good day
	DropsLate bool    `toml:"drops_late"`   // it turns away what is over already when its turn comes
	FullTax   float64 `toml:"full_tax"`     // part of the capacity that a full table of connections takes
	Report    Span    `toml:"report"`       // load reports are made so often
	Noise     float64 `toml:"report_noise"` // and are off by such a part
}

// Keys is what requests concern.
type Keys struct {
	Count   int     `toml:"count"`
	Zipf    float64 `toml:"zipf"`     // exponent of their popularity
	Gain    float64 `toml:"gain"`     // part of the work saved where a cell met the key lately
	For     Span    `toml:"for"`      // lately
	PerCore int     `toml:"per_core"` // keys that a cell remembers for each core
	Cell    int     `toml:"cell"`     // servers in a cell
}

// Rules are the figures of the four rules.
type Rules struct {
	AnswerSlack  Span    `toml:"answer_slack"`
	StopWithin   Span    `toml:"stop_within"`
	AskWithin    Span    `toml:"ask_within"`
	FallMultiple float64 `toml:"fall_multiple"`
	FallTime     Span    `toml:"fall_time"`
	MostTries    int     `toml:"most_tries"`
	RetryAfter   Span    `toml:"retry_after"` // the longest that clients heed
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

// Base is a fleet whose figures lie in the middle of what the operators state of theirs.
func Base() *Scenario {
	s := &Scenario{
		Name: "calm", Length: Span(30 * time.Second), Sidecars: 30, Servers: 20,
		Zones: []string{"milano-a", "torino-b"}, Load: 0.7,
		Network: Network{Near: span(0.2), Far: span(10), Jitter: 0.2, ConnectWithin: span(250), IdleFor: span(15000), Handshake: span(4), PerCore: 750},
		List:    List{Notice: span(2200), Add: span(1200), Period: span(800), PerMS: 4, PerCall: 50, WaitMost: span(1000)},
		Clients: Clients{Uneven: 1, ZoneSkew: 0.15, Swing: 0.12, SwingTime: span(20000), Retries: 2, TryShare: 0.6, Backoff: span(300), Honour: 0.8, Leave: 0.01},
		Classes: []Class{
			{Name: "hold-slot", Share: 0.61, Work: span(90), Spread: 2, Tail: "lognormal", Aim: span(1500), Deadline: span(6000), Worth: 5, LateWorth: 0.5, Effect: "keyed", Group: "zone", Window: span(4000)},
			{Name: "confirm-visit", Share: 0.39, Work: span(90), Spread: 2, Tail: "pareto", Aim: span(1200), Deadline: span(3000), Worth: 3, LateWorth: 0.25, Effect: "unsafe"},
		},
		Keys:   Keys{Count: 700, Zipf: 0.75, Gain: 0.5, For: span(7000), PerCore: 16, Cell: 6},
		Rules:  Rules{AnswerSlack: span(70), StopWithin: span(3000), AskWithin: span(10000), FallMultiple: 3, FallTime: span(2000), MostTries: 4, RetryAfter: span(2000)},
		Prices: Prices{CrossZone: 0.026, Waste: 0.3, Probe: 0.05, Handshake: 0.08, LateFail: 0.057, OverShare: 0.1},
		Kinds: []Kind{
			{Name: "single-fast", Share: 0.63, Cores: 1, Speed: 1.5, SpeedCV: 0.15, Slots: 1, Room: 26, CrowdedAt: 9, ColdFrom: 0.45, ColdFor: span(6000), Errors: 0.001, FullTax: 0.25, Report: span(50), Noise: 0.02},
			{Name: "dual-std", Share: 0.37, Cores: 2, Speed: 1, SpeedCV: 0.1, Slots: 1, Room: 20, CrowdedAt: 9, ColdFrom: 0.45, ColdFor: span(6000), Errors: 0.001, FullTax: 0.25, Report: span(50), Noise: 0.02},
		},
	}
	for i, share := range []float64{0.2, 0.18, 0.15, 0.14, 0.13, 0.12, 0.08} {
		s.Tenants = append(s.Tenants, Tenant{Name: fmt.Sprintf("tenant-%d", i+1), Share: share, Usage: 1})
	}
	return s
}

// span is a number of milliseconds.
func span(ms float64) Span { return Span(ms * float64(time.Millisecond)) }

// Read reads a scenario file: TOML that changes what Base has. A key that is not
// known, a wrong type and a figure that cannot be are refused, with line and field.
func Read(r io.Reader) (*Scenario, error) {
	text, err := io.ReadAll(io.LimitReader(r, maxFile+1))
	if err != nil {
		return nil, fmt.Errorf("read scenario: %w", err)
	}
	if len(text) > maxFile {
		return nil, fmt.Errorf("scenario: more than %d bytes", maxFile)
	}
	s := Base()
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
	s, err := Read(f)
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
		{"network.near", s.Network.Near.seconds(), 0, 10}, {"network.far", s.Network.Far.seconds(), 0, 10},
		{"network.jitter", s.Network.Jitter, 0, 1}, {"network.connect_within", s.Network.ConnectWithin.seconds(), 0.001, 60},
		{"network.idle_for", s.Network.IdleFor.seconds(), 0.001, 3600}, {"network.handshake", s.Network.Handshake.seconds(), 0, 10},
		{"network.per_core", float64(s.Network.PerCore), 1, 1e6},
		{"list.notice", s.List.Notice.seconds(), 0, 3600}, {"list.add", s.List.Add.seconds(), 0, 3600},
		{"list.period", s.List.Period.seconds(), 0.001, 60}, {"list.per_ms", s.List.PerMS, 1e-6, 1e9},
		{"list.per_call", float64(s.List.PerCall), 0, 1e6}, {"list.wait_most", s.List.WaitMost.seconds(), 0.001, 60},
		{"clients.uneven", s.Clients.Uneven, 0, 10}, {"clients.zone_skew", s.Clients.ZoneSkew, 0, 1}, {"clients.swing", s.Clients.Swing, 0, 1},
		{"clients.swing_time", s.Clients.SwingTime.seconds(), 0.1, 86400}, {"clients.retries", float64(s.Clients.Retries), 0, 100},
		{"clients.try_share", s.Clients.TryShare, 0.01, 1}, {"clients.backoff", s.Clients.Backoff.seconds(), 0.001, 60},
		{"clients.honour", s.Clients.Honour, 0, 1}, {"clients.leave", s.Clients.Leave, 0, 1},
		{"keys.count", float64(s.Keys.Count), 1, 1e6}, {"keys.zipf", s.Keys.Zipf, 0, 5}, {"keys.gain", s.Keys.Gain, 0, 1},
		{"keys.for", s.Keys.For.seconds(), 0, 3600}, {"keys.per_core", float64(s.Keys.PerCore), 1, 1e6}, {"keys.cell", float64(s.Keys.Cell), 1, 1000},
		{"rules.most_tries", float64(s.Rules.MostTries), 1, 100}, {"rules.fall_multiple", s.Rules.FallMultiple, 1, 1000},
		{"rules.fall_time", s.Rules.FallTime.seconds(), 0.001, 60}, {"rules.answer_slack", s.Rules.AnswerSlack.seconds(), 0, 10},
		{"rules.stop_within", s.Rules.StopWithin.seconds(), 0, 60}, {"rules.ask_within", s.Rules.AskWithin.seconds(), 0.1, 3600},
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
		if k.Cores < 1 || k.Slots < 1 || k.Room < 0 || !(k.Speed > 0) || !(k.SpeedCV >= 0) || !(k.Share >= 0) || !(k.ColdFrom > 0 && k.ColdFrom <= 1) ||
			k.ColdFor < 0 || !(k.Errors >= 0 && k.Errors <= 1) || !(k.FullTax >= 0 && k.FullTax < 1) || k.Report <= 0 || !(k.Crowding >= 0) || !(k.Noise >= 0) {
			return fmt.Errorf("scenario: kinds[%d] (%s): a figure is missing or out of range", i, k.Name)
		}
	}
	if !(shares > 0) || !(kinds > 0) {
		return errors.New("scenario: the shares of classes or kinds add up to nothing")
	}
	if err := checkOracle(s.Oracle); err != nil {
		return err
	}
	for i, t := range s.Troubles {
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
	case !(c.Share >= 0) || !(c.Worth >= 0) || !(c.LateWorth >= 0 && c.LateWorth <= 1) || !(c.Spread >= 0):
		return fmt.Errorf("scenario: %s: share, worth, late_worth or spread is out of range", at)
	case c.Work <= 0 || c.Aim <= 0 || c.Deadline < c.Aim || c.Window < 0:
		return fmt.Errorf("scenario: %s: work and aim must be above 0, deadline not under aim", at)
	case !slices.Contains([]string{"lognormal", "pareto"}, c.Tail):
		return fmt.Errorf("scenario: %s.tail is %q; there are lognormal and pareto", at, c.Tail)
	case !slices.Contains([]string{"safe", "keyed", "unsafe"}, c.Effect):
		return fmt.Errorf("scenario: %s.effect is %q; there are safe, keyed and unsafe", at, c.Effect)
	case c.Effect == "keyed" && !slices.Contains([]string{"all", "zone", "cell"}, c.Group):
		return fmt.Errorf("scenario: %s.group is %q; there are all, zone and cell", at, c.Group)
	}
	return nil
}

// capacity is what a kind of machine can do: work a second, on a core of speed 1.
func (k Kind) capacity() float64 { return float64(k.Cores) * k.Speed }

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
		MaxAttempts: s.Rules.MostTries, MayCancel: true, MayProbe: true, LoadReports: true,
		MaxRetryAfter: time.Duration(s.Rules.RetryAfter), KeyAffinity: s.Keys.Gain > 0,
		PollList: true, PollDeadline: time.Duration(s.Rules.AskWithin), DrainGrace: time.Duration(s.Rules.StopWithin), OverloadFactor: s.Rules.FallMultiple,
		SlowStartFloor: 1, CrossZoneCost: s.Prices.CrossZone,
	}
	for _, k := range s.Kinds {
		c.SlowStartFloor = min(c.SlowStartFloor, k.ColdFrom)
		c.SlowStartWindow = max(c.SlowStartWindow, time.Duration(k.ColdFor))
	}
	for _, k := range s.Classes {
		c.Classes = append(c.Classes, policy.Class{
			LatencyObjective: time.Duration(k.Aim), Deadline: time.Duration(k.Deadline), LateShare: k.LateWorth, PriorityWeight: k.Worth,
			Idempotency: k.effect(), DedupScope: k.scope(), DedupWindow: time.Duration(k.Window),
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

func (c Class) effect() policy.Idempotency {
	return map[string]policy.Idempotency{"safe": policy.Idempotent, "keyed": policy.IdempotentByKey, "unsafe": policy.NonIdempotent}[c.Effect]
}

func (c Class) scope() policy.DedupScope {
	return map[string]policy.DedupScope{"all": policy.ScopeAll, "zone": policy.ScopeZone, "cell": policy.ScopeCell}[c.Group]
}
