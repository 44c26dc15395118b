package client

import (
	"encoding/json"
	"fmt"
)

// ListUpdate is a message of the endpoint list: the full list, or what has changed.
type ListUpdate struct {
	Seq       uint64     `json:"seq"`
	Full      bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
}

// Endpoint is one entry of the list, read tolerantly: a field of the wrong type makes this
// endpoint malformed, and no other.
type Endpoint struct {
	Host      string  `json:"host"`
	Dial      string  `json:"dial"`
	Site      string  `json:"site"`
	Block     *int    `json:"block"`
	Health    string  `json:"health"`
	Share     float64 `json:"share"`
	BornMS    float64 `json:"born_ms"`
	Malformed bool    `json:"-"` // only the host, at most, could be read
}

// UnmarshalJSON reads an endpoint. It accepts a malformed one and keeps its host, if that
// can be read: a host that a full list names has not been removed.
func (e *Endpoint) UnmarshalJSON(text []byte) error {
	type plain Endpoint
	var p plain
	if err := json.Unmarshal(text, &p); err != nil {
		*e = Endpoint{Host: hostOf(text), Malformed: true}
		return nil
	}
	*e = Endpoint(p)
	return nil
}

// hostOf returns the host of an endpoint that is malformed; empty if it cannot be read.
func hostOf(text []byte) string {
	var named struct {
		Host string `json:"host"`
	}
	if json.Unmarshal(text, &named) != nil {
		return ""
	}
	return named.Host
}

// parseUpdate reads a list update strictly: one that leaves out its version or its
// endpoints would pass for an empty list. Its errors are errGap.
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
		return ListUpdate{}, fmt.Errorf("%w: without seq or hosts", errGap)
	}
	u := ListUpdate{Seq: *fields.Seq, Full: fields.Whole}
	if err := json.Unmarshal(fields.Hosts, &u.Endpoints); err != nil {
		return ListUpdate{}, fmt.Errorf("%w: hosts: %w", errGap, err)
	}
	return u, nil
}
