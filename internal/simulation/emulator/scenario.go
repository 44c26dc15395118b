// Package emulator models the environment of a sidecar: booking servers in zones, the discovery service,
// the network, the clients, and injected faults. Sim runs the real decision module of each sidecar against
// this model in simulated time, deterministically and in one goroutine. Checker verifies the four rules
// from the events of a run; it shares no code with the modules that it checks.
//
// The model follows the protocol's public description. docs/EMULATOR.md lists its omissions and assumptions.
package emulator

// Scenario describes one run: the fleet, its environment and the faults. DefaultScenario has the values of
// the deployment that this project serves; scenario files and presets change some of them.
type Scenario struct {
	Name           string        `toml:"name"`
	Length         Duration      `toml:"length"`   // duration of the arrivals; the run ends when all requests are answered
	Sidecars       int           `toml:"sidecars"` // one beside each client
	Servers        int           `toml:"servers"`
	Zones          []string      `toml:"zones"`
	Load           float64       `toml:"load"`   // work requested, as a fraction of the capacity of all servers
	Slots          int           `toml:"slots"`  // of each sidecar over all bulkheads; 0: derived from the quotas
	OverloadAdvice bool          `toml:"advice"` // a fleet-wide task gives overload advice (docs/OVERLOAD.md)
	IdealPolicy    string        `toml:"oracle"` // ideal policy: the fact that all sidecars are provided with: load or admission; empty: none
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

// Network holds message delays and the limits of connections.
type Network struct {
	NearDelay          Duration `toml:"near"`   // one way within a zone
	FarDelay           Duration `toml:"far"`    // one way between zones
	Jitter             float64  `toml:"jitter"` // fraction of the delay that varies, uniformly
	ConnectTimeout     Duration `toml:"connect_within"`
	IdleTimeout        Duration `toml:"idle_for"`  // after which a sidecar closes an idle connection
	HandshakeWork      Duration `toml:"handshake"` // work that a new connection costs a server
	ConnectionsPerCore int      `toml:"per_core"`  // connections that a server accepts for each core
}

// ListService configures the discovery service that serves the endpoint list.
type ListService struct {
	RemovalDelay  Duration `toml:"notice"`    // delay until it lists that a server drains or was removed
	AdditionDelay Duration `toml:"add"`       // delay until it lists a new server
	Period        Duration `toml:"period"`    // interval of watch events
	PerMS         float64  `toml:"per_ms"`    // list entries per millisecond that it can send in answers to polls
	PerCall       int      `toml:"per_call"`  // cost of a poll besides the entries that it returns, in entries
	MaxWait       Duration `toml:"wait_most"` // a poll that waits longer fails
}

// Clients configures the behaviour of the clients.
type Clients struct {
	TrafficCV        float64  `toml:"uneven"`     // coefficient of variation of the sidecars' traffic
	ZoneSkew         float64  `toml:"zone_skew"`  // relative excess of the first zone's traffic
	Swing            float64  `toml:"swing"`      // amplitude of the traffic wave, as a fraction of the mean
	SwingTime        Duration `toml:"swing_time"` // length of one wave
	Retries          int      `toml:"retries"`    // maximum retries of a call by its client
	AttemptShare     float64  `toml:"try_share"`  // fraction of the time left that one attempt may take
	Backoff          Duration `toml:"backoff"`    // before the first retry; doubled each time
	HonourRetryAfter float64  `toml:"honour"`     // fraction of the clients that honour Retry-After
	AbandonRate      float64  `toml:"leave"`      // fraction of the attempts that the client abandons
}

// Class is a class of requests.
type Class struct {
	Name             string   `toml:"name"`
	Share            float64  `toml:"share"`
	Work             Duration `toml:"work"`   // mean, on a core of speed 1
	WorkCV           float64  `toml:"spread"` // coefficient of variation
	Tail             string   `toml:"tail"`   // "lognormal" or "pareto"
	LatencyObjective Duration `toml:"aim"`
	Deadline         Duration `toml:"deadline"`
	PriorityWeight   float64  `toml:"worth"`
	LateShare        float64  `toml:"late_worth"` // fraction of the weight that an answer after the latency objective counts
	Idempotency      string   `toml:"effect"`     // "safe", "keyed" or "unsafe"
	DedupScope       string   `toml:"group"`      // for keyed: which servers deduplicate: "all", "zone" or "cell"
	DedupWindow      Duration `toml:"window"`     // for keyed: how long repeats are deduplicated
}

// Tenant is a customer with a share of the quotas.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Usage float64 `toml:"usage"` // requested load, as a fraction of its share
}

// MachineKind is a kind of machine.
type MachineKind struct {
	Name            string   `toml:"name"`
	Share           float64  `toml:"share"`
	Cores           int      `toml:"cores"`
	Speed           float64  `toml:"speed"`
	SpeedCV         float64  `toml:"speed_cv"`
	Slots           int      `toml:"slots"`      // requests in service for each core
	QueueCapacity   int      `toml:"room"`       // queued requests, for each core
	Crowding        float64  `toml:"crowding"`   // efficiency lost for each request in flight above CrowdedAt
	CrowdedAt       float64  `toml:"crowded_at"` // requests in flight for each core
	SlowStartFloor  float64  `toml:"cold_from"`
	SlowStartWindow Duration `toml:"cold_for"`
	ErrorRate       float64  `toml:"errors"`       // fraction of the requests that fail without any fault
	DropsLate       bool     `toml:"drops_late"`   // rejects a request whose deadline has passed when it leaves the queue
	ConnectionCost  float64  `toml:"full_tax"`     // fraction of the capacity that a full connection table takes
	ReportInterval  Duration `toml:"report"`       // interval of load reports
	ReportNoise     float64  `toml:"report_noise"` // relative error of load reports
}

// Keys configures the affinity keys of requests.
type Keys struct {
	Count      int      `toml:"count"`
	Zipf       float64  `toml:"zipf"`     // exponent of their popularity
	WarmSaving float64  `toml:"gain"`     // fraction of the work saved if the cell served the key within WarmWindow
	WarmWindow Duration `toml:"for"`      // how long a cell remembers a key
	PerCore    int      `toml:"per_core"` // keys that a cell remembers for each core
	CellSize   int      `toml:"cell"`     // servers in a cell
}

// Rules holds the limits that a policy has to respect: the times for responses, drains and polls of the
// endpoint list, the overload of a server, the attempts for a request, and the longest Retry-After.
type Rules struct {
	AnswerSlack    Duration `toml:"answer_slack"`
	DrainGrace     Duration `toml:"stop_within"`
	PollDeadline   Duration `toml:"ask_within"`
	OverloadFactor float64  `toml:"fall_multiple"`
	OverloadWindow Duration `toml:"fall_time"`
	MaxAttempts    int      `toml:"most_tries"`
	RetryAfter     Duration `toml:"retry_after"` // the longest that clients honour
}

// Prices holds costs. Each cost except OverShare, multiplied by its share or rate, is subtracted from the
// weighted shares of served requests, which gives Record.Result. OverShare is a factor for the priority
// weight of requests.
type Prices struct {
	CrossZone float64 `toml:"cross_zone"`
	Waste     float64 `toml:"waste"`
	Probe     float64 `toml:"probe"`
	Handshake float64 `toml:"handshake"`
	LateFail  float64 `toml:"late_fail"`
	OverShare float64 `toml:"over_share"` // weight of what a tenant requests beyond its quota
}

// capacity returns the work per second of a kind of machine, in seconds on a core of speed 1.
func (k MachineKind) capacity() float64 { return float64(k.Cores) * k.Speed }

// Rate returns the first attempts per second over all sidecars.
func (s *Scenario) Rate() float64 {
	capacity, kinds := 0.0, 0.0
	for _, k := range s.Kinds {
		capacity += k.Share * k.capacity()
		kinds += k.Share
	}
	return s.Load * capacity / kinds * float64(s.Servers) / s.meanWork()
}

// meanWork returns the mean work of a request in seconds.
func (s *Scenario) meanWork() float64 {
	work, shares := 0.0, 0.0
	for _, c := range s.Classes {
		work += c.Share * c.Work.seconds()
		shares += c.Share
	}
	return work / shares
}
