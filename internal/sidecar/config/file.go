package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"slices"

	"barleywick/internal/configfile"
	"barleywick/internal/membership"
)

// File is a configuration file as a person writes it, in TOML. It holds what the
// platform's JSON holds under the same names, and turns into it: one reader serves
// both. The tags say what docs/CONFIGURATION.md lists.
type File struct {
	Name              string             `toml:"name" json:"name" doc:"its name, the same after a restart"`
	Listen            string             `toml:"listen" json:"listen" unit:"address:port" doc:"where the clients connect; listens on nothing else"`
	Discovery         string             `toml:"discovery" json:"discovery" unit:"address:port" doc:"the list service"`
	DiscoveryReplicas []string           `toml:"discovery_replicas" json:"discovery_replicas,omitempty" unit:"address:port" default:"none" doc:"further addresses of the same service, 16 at most; it goes on at another when one fails"`
	Seed              string             `toml:"seed" json:"seed" unit:"hexadecimal" default:"drawn at the start" doc:"for random numbers; sidecars with the same one act in step"`
	Limits            FileLimits         `toml:"limits" json:"limits"`
	Connections       FileConns          `toml:"connections" json:"connections"`
	Takeover          *FileTake          `toml:"takeover" json:"takeover,omitempty"`
	Policy            *FilePolicy        `toml:"policy" json:"policy,omitempty"`
	Overload          *FileOverload      `toml:"overload" json:"overload,omitempty"`
	Membership        *membership.Config `toml:"membership" json:"membership,omitempty"`
	Log               Log                `toml:"log" json:"log"`
	Metrics           Metrics            `toml:"metrics" json:"metrics"`
	Settings          FileSettings       `toml:"settings" json:"settings"`
}

// FileLimits are what the process may use.
type FileLimits struct {
	Cores    float64 `toml:"cores" json:"cores" unit:"cores" default:"all" doc:"threads that run at once"`
	MemoryMB int64   `toml:"memory_mb" json:"memory_mb" unit:"MiB" default:"no limit" doc:"the collector keeps the heap under three quarters of it"`
	Sockets  int     `toml:"sockets" json:"sockets" default:"1024" doc:"descriptors; 64 at least. The limits on connections follow from it"`
}

// FileConns are the limits on connections, both sides.
type FileConns struct {
	Clients FileClients `toml:"clients" json:"clients"`
	Servers FileServers `toml:"servers" json:"servers"`
}

// FileClients are the limits towards clients.
type FileClients struct {
	Total      *int `toml:"total" json:"total,omitempty" default:"six tenths of the sockets, less waiting" doc:"open connections; silent ones take some until they are closed"`
	PerAddress *int `toml:"per_address" json:"per_address,omitempty" default:"total" doc:"of them, one client address's; fair shares take back what is lent"`
	HalfOpen   *int `toml:"half_open" json:"half_open,omitempty" default:"total" doc:"of them, those without a whole header; less slows the clearing of a flood"`
	Idle       *int `toml:"idle" json:"idle,omitempty" default:"three tenths of the clients' sockets" doc:"of them, those between requests; clients count idle ones as theirs"`
	Waiting    *int `toml:"waiting" json:"waiting,omitempty" default:"a thirty-second, 8 at most" doc:"connections that wait for a place; a longer queue serves nobody sooner"`
}

// FileServers are the limits towards booking servers.
type FileServers struct {
	Total               *int `toml:"total" json:"total,omitempty" default:"four tenths of the sockets" doc:"connections to booking servers"`
	PerServer           *int `toml:"per_server" json:"per_server,omitempty" default:"half of total" doc:"of them, to one; one that is slow must leave some to the others"`
	Handshakes          *int `toml:"handshakes" json:"handshakes,omitempty" default:"an eighth of total, at least 8" doc:"under way at once; when a zone returns all sidecars open connections"`
	HandshakesPerServer *int `toml:"handshakes_per_server" json:"handshakes_per_server,omitempty" default:"4" doc:"under way to one server; fewer after one that failed"`
}

// FileTake lets a new process take this one's place.
type FileTake struct {
	Socket  string `toml:"socket" json:"socket" unit:"path" default:"no take-over" doc:"the Unix socket at which a new process asks; its folder is the operator's to guard"`
	ReadyMS int64  `toml:"ready_ms" json:"ready_ms,omitempty" unit:"ms" default:"30000" doc:"how long a new process may take to be ready"`
}

// FilePolicy names where the fleet's policy comes from.
type FilePolicy struct {
	Registry []string `toml:"registry" json:"registry" unit:"address:port" default:"no policy" doc:"the registry's replicas; this sidecar is ready when it has a seat in the roster there (docs/POLICY.md)"`
	Folder   string   `toml:"folder" json:"folder,omitempty" unit:"path" default:"nothing is kept" doc:"where it keeps what it acts by, for a start when nobody can be asked"`
	LeaseMS  int64    `toml:"lease_ms" json:"lease_ms,omitempty" unit:"ms" default:"5000" doc:"under a policy of mode refuse: how long it serves without the registry, at most"`
	Machine  string   `toml:"machine" json:"machine,omitempty" default:"none" doc:"the machine's name, as the keeper there has it: it sees when this process has gone, and no change waits for it any more"`
	Routes   []string `toml:"routes" json:"routes,omitempty" unit:"address:port=address:port" default:"none" doc:"addresses to call instead of others"`
}

// FileOverload names where the fleet's word on an overload comes from.
type FileOverload struct {
	Registry []string `toml:"registry" json:"registry" unit:"address:port" default:"no word" doc:"the registry's replicas, which say where the task listens (docs/OVERLOAD.md)"`
	Fleet    string   `toml:"fleet" json:"fleet" default:"-" doc:"the fleet's name, as the keepers have it: the word of another fleet's task is passed over"`
	Routes   []string `toml:"routes" json:"routes,omitempty" unit:"address:port=address:port" default:"none" doc:"addresses to call instead of others"`
}

// Log says how the program's own log is written.
type Log struct {
	Level  string `toml:"level" json:"level,omitempty" default:"info" doc:"least level: debug (a line for each attempt and answer), info, warn, error"`
	Format string `toml:"format" json:"format,omitempty" default:"text" doc:"text or json"`
}

// Metrics says where metrics are served.
type Metrics struct {
	Listen string `toml:"listen" json:"listen,omitempty" unit:"address:port" default:"no metrics" doc:"a loopback address of their own for Prometheus, path /metrics"`
}

// FileSettings are the settings of the site, the same at all its sidecars.
type FileSettings struct {
	Balancers    int              `toml:"balancers" json:"balancers" default:"1" doc:"sidecars that send to the same servers; budgets are divided among them"`
	Zone         int              `toml:"zone" json:"zone" default:"0" doc:"this sidecar's zone, an index into zones"`
	Zones        []string         `toml:"zones" json:"zones,omitempty" default:"none" doc:"names, as the list has them"`
	Discovery    string           `toml:"discovery" json:"discovery,omitempty" default:"push" doc:"push: the list comes by itself; ask: the sidecar decides when to call"`
	Classes      []FileClass      `toml:"classes" json:"classes"`
	Tenants      []FileTenant     `toml:"orgs" json:"orgs,omitempty"`
	Capabilities FileCapabilities `toml:"caps" json:"caps"`
	Rules        FileRules        `toml:"rules" json:"rules"`
	Telemetry    FileTelemetry    `toml:"telemetry" json:"telemetry"`
	Charges      FileCharges      `toml:"charges" json:"charges"`
	Family       FileFamily       `toml:"family_info" json:"family_info"`
	ClientHabits FileClientHabits `toml:"client_habits" json:"client_habits"`
}

// FileClass is a class of requests.
type FileClass struct {
	Name                string  `toml:"name" json:"name" doc:"as requests name it"`
	LatencyObjectiveMS  float64 `toml:"aim_ms" json:"aim_ms" unit:"ms" doc:"answers within it have their full worth"`
	ObjectiveWorkFactor float64 `toml:"aim_stretch" json:"aim_stretch,omitempty" default:"0" doc:"the aim grows by this multiple of a request's expected work"`
	DeadlineMS          float64 `toml:"hard_limit_ms" json:"hard_limit_ms" unit:"ms" doc:"a client's whole wait over its tries; not under aim_ms"`
	LateShare           float64 `toml:"late_share" json:"late_share" default:"0" doc:"part of the worth that an answer after the aim has"`
	PriorityWeight      float64 `toml:"worth" json:"worth" default:"0" doc:"against the other classes'"`
	Semantics           string  `toml:"semantics" json:"semantics" default:"single_shot" doc:"free: may be repeated; guarded: repeats are dropped by a group of servers for a while; single_shot: must never run twice"`
	DedupScope          string  `toml:"dedup_scope" json:"dedup_scope,omitempty" default:"cell" doc:"guarded: the group: all, zone or cell"`
	DedupWindowMS       float64 `toml:"window_ms" json:"window_ms,omitempty" unit:"ms" default:"0" doc:"guarded: how long, from the first send on"`
}

// FileTenant is a tenant.
type FileTenant struct {
	Name  string  `toml:"name" json:"name" doc:"as requests name it; with none named there is one tenant"`
	Share float64 `toml:"share" json:"share" doc:"of the slots, set against the others'"`
	Quota float64 `toml:"quota_per_s" json:"quota_per_s" unit:"requests a second" default:"0: unknown" doc:"within its share, over all sidecars; slots follow from it"`
}

// FileCapabilities are what the sidecar may do.
type FileCapabilities struct {
	MaxAttempts     int     `toml:"most_tries" json:"most_tries" default:"1" doc:"attempts for a request"`
	MayCancel       bool    `toml:"may_cancel" json:"may_cancel" default:"false" doc:"attempts may be called off"`
	Probes          bool    `toml:"probes" json:"probes" default:"false" doc:"servers may be probed"`
	MaxRetryAfterMS float64 `toml:"max_retry_after_ms" json:"max_retry_after_ms" unit:"ms" default:"0" doc:"the longest Retry-After that clients heed"`
	DialTimeoutMS   float64 `toml:"dial_timeout_ms" json:"dial_timeout_ms,omitempty" unit:"ms" default:"250" doc:"a connection that is not made by then never comes"`
	UpstreamIdleMS  float64 `toml:"conn_idle_ms" json:"conn_idle_ms,omitempty" unit:"ms" default:"15000" doc:"servers close a connection that was idle so long"`
}

// FileRules are the figures of the rules.
type FileRules struct {
	PollDeadlineMS float64 `toml:"ask_within_ms" json:"ask_within_ms,omitempty" unit:"ms" default:"not known" doc:"without asking so long, a change of the list counts as told"`
	DrainGraceMS   float64 `toml:"stop_sending_within_ms" json:"stop_sending_within_ms,omitempty" unit:"ms" default:"not known" doc:"sends to a server that drains or has gone have to stop in this time after the list says so"`
	SlowStartFloor float64 `toml:"cold_from" json:"cold_from" default:"0" doc:"the part of its capacity that a server begins with at least"`
	SlowStartMS    float64 `toml:"cold_ms" json:"cold_ms" unit:"ms" default:"0" doc:"it has all of it after this"`
	OverloadFactor float64 `toml:"fall_multiple" json:"fall_multiple" default:"0" doc:"sent more than this multiple of what it can do, a cold server falls over"`
}

// FileTelemetry says whether and how servers report their load.
type FileTelemetry struct {
	How     string   `toml:"how" json:"how,omitempty" default:"pull" doc:"silent: no reports; pull: with probes; piggyback: with answers too"`
	Columns []string `toml:"columns" json:"columns,omitempty" default:"none" doc:"the names in a report: busy_reqs, pending, cpu_share, served_ps"`
}

// FileCharges are prices.
type FileCharges struct {
	CrossZone float64 `toml:"cross_zone" json:"cross_zone" default:"0" doc:"of an attempt that leaves its zone, against a worth of 1; 0: zones don't matter"`
}

// FileFamily is what is known of the servers' keys.
type FileFamily struct {
	KeyAffinity bool `toml:"warm_keys" json:"warm_keys" default:"false" doc:"a server that met a key lately needs less work for it"`
}

// FileClientHabits is what is known of the clients.
type FileClientHabits struct {
	MarksRetries bool `toml:"marks_retry" json:"marks_retry" default:"false" doc:"clients mark their own further tries"`
}

// platformForm turns a person's file into the platform's JSON. seed is for files
// that name none.
func platformForm(text []byte, seed func() string) ([]byte, error) {
	f := File{Settings: FileSettings{Balancers: 1, Capabilities: FileCapabilities{MaxAttempts: 1}}}
	if err := configfile.TOML(text, &f); err != nil {
		return nil, err
	}
	if f.Seed == "" {
		f.Seed = seed()
	}
	if err := f.check(); err != nil {
		return nil, configfile.AtLine(text, err)
	}
	return json.Marshal(f)
}

// isTOML says whether a file is in a person's form.
func isTOML(path string) bool { return filepath.Ext(path) == ".toml" }

// check returns an error that begins with the first field that cannot be.
func (f *File) check() error {
	if f.Name == "" {
		return errors.New("name is missing")
	}
	s := f.Settings
	if len(s.Classes) == 0 {
		return errors.New("settings.classes is missing: at least one class is needed")
	}
	for i, c := range s.Classes {
		at := fmt.Sprintf("settings.classes[%d].", i)
		switch {
		case c.Name == "":
			return errors.New(at + "name is missing")
		case !(c.LatencyObjectiveMS > 0):
			return fmt.Errorf("%saim_ms is %g, it must be above 0", at, c.LatencyObjectiveMS)
		case !(c.DeadlineMS >= c.LatencyObjectiveMS):
			return fmt.Errorf("%shard_limit_ms is %g, under the %g of aim_ms", at, c.DeadlineMS, c.LatencyObjectiveMS)
		case !(c.LateShare >= 0 && c.LateShare <= 1):
			return fmt.Errorf("%slate_share is %g, a part between 0 and 1 is needed", at, c.LateShare)
		case !slices.Contains([]string{"free", "guarded", "single_shot", ""}, c.Semantics):
			return fmt.Errorf("%ssemantics is %q; there are free, guarded and single_shot", at, c.Semantics)
		case !slices.Contains([]string{"all", "zone", "cell", ""}, c.DedupScope):
			return fmt.Errorf("%sdedup_scope is %q; there are all, zone and cell", at, c.DedupScope)
		case c.Semantics == "guarded" && !(c.DedupWindowMS > 0):
			return fmt.Errorf("%swindow_ms is %g, a guarded class needs one above 0", at, c.DedupWindowMS)
		case c.Semantics != "guarded" && (c.DedupScope != "" || c.DedupWindowMS != 0):
			return fmt.Errorf("%ssemantics is %q, and dedup_scope and window_ms are for guarded alone", at, c.Semantics)
		}
	}
	for i, o := range s.Tenants {
		if o.Name == "" || !(o.Share > 0) || !(o.Quota >= 0) {
			return fmt.Errorf("settings.orgs[%d].name, share and quota_per_s: a name, a share above 0 and a quota of 0 or more are needed", i)
		}
	}
	switch {
	case s.Balancers < 1:
		return fmt.Errorf("settings.balancers is %d, at least 1 is needed", s.Balancers)
	case s.Zone < 0 || s.Zone >= max(1, len(s.Zones)):
		return fmt.Errorf("settings.zone is %d, zones has %d", s.Zone, len(s.Zones))
	case !slices.Contains([]string{"push", "ask", ""}, s.Discovery):
		return fmt.Errorf("settings.discovery is %q; there are push and ask", s.Discovery)
	case s.Capabilities.MaxAttempts < 1:
		return fmt.Errorf("settings.caps.most_tries is %d, at least 1 is needed", s.Capabilities.MaxAttempts)
	case !(s.Rules.SlowStartFloor >= 0 && s.Rules.SlowStartFloor <= 1):
		return fmt.Errorf("settings.rules.cold_from is %g, a part between 0 and 1 is needed", s.Rules.SlowStartFloor)
	case !slices.Contains([]string{"silent", "pull", "piggyback", ""}, s.Telemetry.How):
		return fmt.Errorf("settings.telemetry.how is %q; there are silent, pull and piggyback", s.Telemetry.How)
	}
	for _, v := range []struct {
		name  string
		value float64
	}{
		{"settings.caps.max_retry_after_ms", s.Capabilities.MaxRetryAfterMS}, {"settings.caps.dial_timeout_ms", s.Capabilities.DialTimeoutMS}, {"settings.caps.conn_idle_ms", s.Capabilities.UpstreamIdleMS},
		{"settings.rules.ask_within_ms", s.Rules.PollDeadlineMS}, {"settings.rules.stop_sending_within_ms", s.Rules.DrainGraceMS}, {"settings.rules.cold_ms", s.Rules.SlowStartMS}, {"settings.rules.fall_multiple", s.Rules.OverloadFactor},
		{"settings.charges.cross_zone", s.Charges.CrossZone}, {"limits.cores", f.Limits.Cores}, {"limits.memory_mb", float64(f.Limits.MemoryMB)},
	} {
		if !(v.value >= 0) {
			return fmt.Errorf("%s is %g, it must not be negative", v.name, v.value)
		}
	}
	return nil
}
