package config

import "barleywick/internal/membership"

// file is a configuration file in TOML, the format for files written by hand. It has the same keys as the
// platform's JSON and is converted to it, so that both formats share one parser. The unit, default and doc
// tags are the text of docs/CONFIGURATION.md.
type file struct {
	Name              string             `toml:"name" json:"name" doc:"its name, the same after a restart"`
	Listen            string             `toml:"listen" json:"listen" unit:"address:port" doc:"where the clients connect; listens on nothing else"`
	Discovery         string             `toml:"discovery" json:"discovery" unit:"address:port" doc:"the discovery service, which has the endpoint list"`
	DiscoveryReplicas []string           `toml:"discovery_replicas" json:"discovery_replicas,omitempty" unit:"address:port" default:"none" doc:"further addresses of the same service, 16 at most; it goes on at another when one fails"`
	Seed              string             `toml:"seed" json:"seed" unit:"hexadecimal" default:"drawn at the start" doc:"seed of the random numbers; sidecars with the same seed make the same random choices"`
	Limits            Limits             `toml:"limits" json:"limits"`
	Connections       connectionsTable   `toml:"connections" json:"connections"`
	Takeover          *Takeover          `toml:"takeover" json:"takeover,omitempty"`
	Policy            *PolicyTable       `toml:"policy" json:"policy,omitempty"`
	Overload          *OverloadTable     `toml:"overload" json:"overload,omitempty"`
	Membership        *membership.Config `toml:"membership" json:"membership,omitempty"`
	Log               Log                `toml:"log" json:"log"`
	Metrics           Metrics            `toml:"metrics" json:"metrics"`
	Settings          settingsTable      `toml:"settings" json:"settings"`
}

// connectionsTable holds the limits on connections to clients and to booking servers.
type connectionsTable struct {
	Clients clientsTable `toml:"clients" json:"clients"`
	Servers serversTable `toml:"servers" json:"servers"`
}

// clientsTable holds the limits on connections to clients.
type clientsTable struct {
	Total      *int `toml:"total" json:"total,omitempty" default:"six tenths of the sockets, less waiting" doc:"open connections; silent ones use some until they are closed"`
	PerAddress *int `toml:"per_address" json:"per_address,omitempty" default:"total" doc:"of them, from one client address; connections above a fair share may be evicted"`
	HalfOpen   *int `toml:"half_open" json:"half_open,omitempty" default:"total" doc:"of them, those without a complete header; a lower limit slows the clearing of a flood"`
	Idle       *int `toml:"idle" json:"idle,omitempty" default:"three tenths of the clients' sockets" doc:"of them, those between requests; clients count idle connections against their own limits"`
	Waiting    *int `toml:"waiting" json:"waiting,omitempty" default:"a thirty-second, 8 at most" doc:"connections that wait to be admitted; a longer queue would not serve requests sooner"`
}

// serversTable holds the limits on connections to booking servers.
type serversTable struct {
	Total               *int `toml:"total" json:"total,omitempty" default:"four tenths of the sockets" doc:"connections to booking servers"`
	PerServer           *int `toml:"per_server" json:"per_server,omitempty" default:"half of total" doc:"of them, to one server; a slow one must leave some to the others"`
	Handshakes          *int `toml:"handshakes" json:"handshakes,omitempty" default:"an eighth of total, at least 8" doc:"handshakes at once; when a zone returns all sidecars open connections"`
	HandshakesPerServer *int `toml:"handshakes_per_server" json:"handshakes_per_server,omitempty" default:"4" doc:"handshakes with one server at once; fewer after a failure"`
}

// settingsTable holds the settings of a site, which are the same for all its sidecars except the zone.
type settingsTable struct {
	Balancers    int               `toml:"balancers" json:"balancers" default:"1" doc:"sidecars that forward to the same servers; budgets are divided among them"`
	Zone         int               `toml:"zone" json:"zone" default:"0" doc:"this sidecar's zone, an index into zones"`
	Zones        []string          `toml:"zones" json:"zones,omitempty" default:"none" doc:"names, as the endpoint list has them"`
	Discovery    string            `toml:"discovery" json:"discovery,omitempty" default:"push" doc:"push: watch events bring the endpoint list; ask: the sidecar decides when to poll"`
	Classes      []classTable      `toml:"classes" json:"classes"`
	Tenants      []tenantTable     `toml:"orgs" json:"orgs,omitempty"`
	Capabilities capabilitiesTable `toml:"caps" json:"caps"`
	Rules        rulesTable        `toml:"rules" json:"rules"`
	Telemetry    telemetryTable    `toml:"telemetry" json:"telemetry"`
	Charges      chargesTable      `toml:"charges" json:"charges"`
	Family       familyTable       `toml:"family_info" json:"family_info"`
	ClientHabits clientHabitsTable `toml:"client_habits" json:"client_habits"`
}

// classTable describes a class of requests.
type classTable struct {
	Name                string  `toml:"name" json:"name" doc:"as requests name it"`
	LatencyObjectiveMS  float64 `toml:"aim_ms" json:"aim_ms" unit:"ms" doc:"the latency objective: responses within it earn their full weight"`
	ObjectiveWorkFactor float64 `toml:"aim_stretch" json:"aim_stretch,omitempty" default:"0" doc:"the objective grows by this multiple of a request's expected work"`
	DeadlineMS          float64 `toml:"hard_limit_ms" json:"hard_limit_ms" unit:"ms" doc:"the deadline: a client's whole wait over all attempts; not under aim_ms"`
	LateShare           float64 `toml:"late_share" json:"late_share" default:"0" doc:"part of the weight that a response after the objective earns"`
	PriorityWeight      float64 `toml:"worth" json:"worth" default:"0" doc:"the priority weight, against the other classes'"`
	Semantics           string  `toml:"semantics" json:"semantics" default:"single_shot" doc:"free: idempotent; guarded: idempotent by key, repeats are dropped by a group of servers for a while; single_shot: must never run twice"`
	DedupScope          string  `toml:"dedup_scope" json:"dedup_scope,omitempty" default:"cell" doc:"guarded: the group of servers: all, zone or cell"`
	DedupWindowMS       float64 `toml:"window_ms" json:"window_ms,omitempty" unit:"ms" default:"0" doc:"guarded: how long repeats are dropped, from the first attempt on"`
}

// tenantTable describes a tenant.
type tenantTable struct {
	Name  string  `toml:"name" json:"name" doc:"as requests name it; with none named there is one tenant"`
	Share float64 `toml:"share" json:"share" doc:"of the slots, against the other tenants' shares"`
	Quota float64 `toml:"quota_per_s" json:"quota_per_s" unit:"requests a second" default:"0: unknown" doc:"the quota within its share, over all sidecars; slots follow from it"`
}

// capabilitiesTable holds the permissions of the sidecar (attempts, cancellation, probes) and its time
// limits towards clients and servers.
type capabilitiesTable struct {
	MaxAttempts     int     `toml:"most_tries" json:"most_tries" default:"1" doc:"attempts for a request"`
	MayCancel       bool    `toml:"may_cancel" json:"may_cancel" default:"false" doc:"attempts may be cancelled"`
	Probes          bool    `toml:"probes" json:"probes" default:"false" doc:"servers may be probed"`
	MaxRetryAfterMS float64 `toml:"max_retry_after_ms" json:"max_retry_after_ms" unit:"ms" default:"0" doc:"the longest Retry-After that clients heed"`
	DialTimeoutMS   float64 `toml:"dial_timeout_ms" json:"dial_timeout_ms,omitempty" unit:"ms" default:"250" doc:"connect timeout to booking servers; a handshake that takes longer never completes"`
	UpstreamIdleMS  float64 `toml:"conn_idle_ms" json:"conn_idle_ms,omitempty" unit:"ms" default:"15000" doc:"servers close a connection that was idle for this long"`
}

// rulesTable holds the time limits and slow-start parameters that the sidecar has to respect.
type rulesTable struct {
	PollDeadlineMS float64 `toml:"ask_within_ms" json:"ask_within_ms,omitempty" unit:"ms" default:"not known" doc:"the notification deadline: without a poll for this long, a change of the endpoint list counts as notified"`
	DrainGraceMS   float64 `toml:"stop_sending_within_ms" json:"stop_sending_within_ms,omitempty" unit:"ms" default:"not known" doc:"forwarding to a draining or removed server has to stop within this time after the endpoint list says so"`
	SlowStartFloor float64 `toml:"cold_from" json:"cold_from" default:"0" doc:"slow start: the part of its capacity that a server begins with at least"`
	SlowStartMS    float64 `toml:"cold_ms" json:"cold_ms" unit:"ms" default:"0" doc:"slow start: it has all of its capacity after this"`
	OverloadFactor float64 `toml:"fall_multiple" json:"fall_multiple" default:"0" doc:"sent more than this multiple of what it can do, a server that warms up falls over"`
}

// telemetryTable describes whether and how servers report their load.
type telemetryTable struct {
	How     string   `toml:"how" json:"how,omitempty" default:"pull" doc:"load reports: silent: none; pull: with probes; piggyback: with responses too"`
	Columns []string `toml:"columns" json:"columns,omitempty" default:"none" doc:"the names in a load report: busy_reqs, pending, cpu_share, served_ps"`
}

// chargesTable holds the costs that routing decisions take into account.
type chargesTable struct {
	CrossZone float64 `toml:"cross_zone" json:"cross_zone" default:"0" doc:"of an attempt that leaves its zone, against a priority weight of 1; 0: zones don't matter"`
}

// familyTable describes the key affinity of the servers.
type familyTable struct {
	KeyAffinity bool `toml:"warm_keys" json:"warm_keys" default:"false" doc:"key affinity: a server that served a key lately needs less work for it"`
}

// clientHabitsTable describes the behavior of the clients.
type clientHabitsTable struct {
	MarksRetries bool `toml:"marks_retry" json:"marks_retry" default:"false" doc:"clients mark their own retries"`
}
