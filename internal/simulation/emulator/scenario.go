// Package emulator is a model of what a sidecar lives among: booking servers in
// zones, the list service, the network and the clients, with the troubles that
// befall them. Sim runs the real decision module of each sidecar against it in
// simulated time, in one goroutine and the same on every run; Checker judges the
// four rules from what it is told and shares no code with what it judges.
//
// The model follows the protocol's public description. docs/EMULATOR.md says what
// it leaves out and where it had to guess.
package emulator

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
