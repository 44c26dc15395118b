package client

import (
	"encoding/json"
)

// ListUpdate is discovery's news of the upstreams: the whole list or what changed.
type ListUpdate struct {
	Seq       uint64     `json:"seq"`
	Full      bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
}

// Endpoint is one upstream as a reader takes it: a field of the wrong kind makes this
// entry unusable and no other.
type Endpoint struct {
	Host      string  `json:"host"`
	Dial      string  `json:"dial"`
	Site      string  `json:"site"`
	Block     *int    `json:"block"`
	Health    string  `json:"health"`
	Share     float64 `json:"share"`
	BornMS    float64 `json:"born_ms"`
	Malformed bool    `json:"-"` // it names a host, and the rest cannot be read
}

// UnmarshalJSON keeps a wrong entry from spoiling the list it stands in: it keeps its
// name alone, for a host that a whole list names has not gone, or none, and such entries
// are passed over.
func (e *Endpoint) UnmarshalJSON(text []byte) error {
	type plain Endpoint
	var p plain
	if err := json.Unmarshal(text, &p); err != nil {
		var named struct {
			Host string `json:"host"`
		}
		if json.Unmarshal(text, &named) != nil {
			named.Host = ""
		}
		*e = Endpoint{Host: named.Host, Malformed: true}
		return nil
	}
	*e = Endpoint(p)
	return nil
}
