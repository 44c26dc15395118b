package registry

// The write interface's messages. docs/REGISTRY.md describes them.

// RegisterRequest is the body of PUT instances/HOST.
type RegisterRequest struct {
	Instance  Instance `json:"instance"`
	Session   string   `json:"session"`
	TTLMS     int64    `json:"ttl_ms"`
	Machine   string   `json:"machine,omitempty"`
	IfVersion *uint64  `json:"if_version,omitempty"`
}

// RenewRequest is the body of POST instances/HOST/renew.
type RenewRequest struct {
	Session string `json:"session"`
}

// MarkRequest is the body of POST marks.
type MarkRequest struct {
	Hosts     []string `json:"hosts"`
	By        string   `json:"by"`
	Draining  bool     `json:"draining"`
	IfVersion *uint64  `json:"if_version,omitempty"` // with one host
	Record    string   `json:"record,omitempty"`     // only while this record
	RecordAt  uint64   `json:"record_at,omitempty"`  // has this version
}

// PutRequest is the body of PUT records/KEY.
type PutRequest struct {
	Value     []byte  `json:"value"`
	IfVersion *uint64 `json:"if_version,omitempty"`
}

// WriteAnswer is the answer to a write.
type WriteAnswer struct {
	Version uint64 `json:"version"`         // of the entry or record
	Seq     uint64 `json:"seq"`             // of the list
	Error   string `json:"error,omitempty"` // one line, where it was not done
}

// EntriesAnswer is the answer to GET instances.
type EntriesAnswer struct {
	Group   string            `json:"group"`
	Seq     uint64            `json:"seq"`
	Entries []Entry           `json:"entries"`
	Marks   map[string]string `json:"marks"`
}

// Member is one replica of a group.
type Member struct {
	ID   string `json:"id"`
	HTTP string `json:"http"` // where it serves
	Raft string `json:"raft"` // where replicas reach it
}

// StatusAnswer is the answer to GET status.
type StatusAnswer struct {
	ID       string   `json:"id"`
	Group    string   `json:"group"`
	State    string   `json:"state"` // leader, follower, candidate
	Leader   string   `json:"leader"`
	Read     string   `json:"read"` // as the header says
	Ready    bool     `json:"ready"`
	Seq      uint64   `json:"seq"`
	Term     uint64   `json:"term"`
	Applied  uint64   `json:"applied"`
	Members  []Member `json:"members"`
	Watches  int      `json:"watches"`
	WatchSeq uint64   `json:"watch_seq"` // the oldest version that a watch here has been sent
	Sessions int      `json:"sessions"`
	Held     bool     `json:"expiry_held"`
}
