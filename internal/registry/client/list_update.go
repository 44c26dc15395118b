package client

import (
	"encoding/json"
	"fmt"
)

// ListUpdate is a message of the endpoint list: the full list, or changes.
type ListUpdate struct {
	Seq       uint64     `json:"seq"`
	Full      bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
	// Fetched marks the response to a call of the owner for the full list, which no watch follows.
	Fetched bool `json:"-"`
}

// Endpoint is one entry of the list. It is decoded leniently: a field of the wrong type
// makes only this endpoint malformed, not the whole update.
type Endpoint struct {
	Host      string  `json:"host"`
	Dial      string  `json:"dial"`
	Site      string  `json:"site"`
	Block     *int    `json:"block"`
	Health    string  `json:"health"`
	Share     float64 `json:"share"`
	BornMS    float64 `json:"born_ms"`
	Malformed bool    `json:"-"` // at most the host could be decoded
}

// UnmarshalJSON decodes an endpoint. It accepts a malformed one and keeps its host, if that
// can be decoded: a host that is in a full list has not been removed.
func (e *Endpoint) UnmarshalJSON(text []byte) error {
	type plain Endpoint
	var p plain
	if err := json.Unmarshal(text, &p); err != nil {
		*e = Endpoint{Host: decodeHost(text), Malformed: true}
		return nil
	}
	*e = Endpoint(p)
	return nil
}

// decodeHost returns the host of a malformed endpoint, or an empty string if it cannot be
// decoded.
func decodeHost(text []byte) string {
	var named struct {
		Host string `json:"host"`
	}
	if json.Unmarshal(text, &named) != nil {
		return ""
	}
	return named.Host
}

// parseUpdate decodes a list update. It rejects one without a version or endpoints, which
// would otherwise be taken for an empty list. Its errors wrap errGap.
func parseUpdate(text []byte) (ListUpdate, error) {
	var fields struct {
		Seq   *uint64         `json:"seq"`
		Whole bool            `json:"whole"`
		Hosts json.RawMessage `json:"hosts"`
	}
	if err := json.Unmarshal(text, &fields); err != nil {
		return ListUpdate{}, fmt.Errorf("%w: %w", errGap, err)
	}
	if fields.Seq == nil || fields.Hosts == nil {
		return ListUpdate{}, fmt.Errorf("%w: seq or hosts is missing", errGap)
	}
	u := ListUpdate{Seq: *fields.Seq, Full: fields.Whole}
	if err := json.Unmarshal(fields.Hosts, &u.Endpoints); err != nil {
		return ListUpdate{}, fmt.Errorf("%w: hosts: %w", errGap, err)
	}
	return u, nil
}
