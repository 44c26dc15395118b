package membership

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
)

// ViewPath is where a member that is asked over HTTP tells its view, below whatever it
// serves else.
const ViewPath = "fleet"

// maxResponseBytes bounds an answer: maxMembers of them, at their longest.
const maxResponseBytes = 4 << 20

// MemberView is one member in an answer.
type MemberView struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Role        Role   `json:"role"`
	Status      Status `json:"status"`
	StatusAgeMS int64  `json:"for_ms"`       // since when it has this status
	By          string `json:"by,omitempty"` // who saw it end, or by whom it is replaced
	Zone        string `json:"zone,omitempty"`
	Version     string `json:"version,omitempty"`
	PolicyEpoch uint64 `json:"policy_epoch,omitempty"`
	Phase       string `json:"phase,omitempty"`
	GossipAddr  string `json:"at,omitempty"`   // where it listens to other members
	HTTPAddr    string `json:"http,omitempty"` // where it can be asked
	MachineName string `json:"host,omitempty"` // its machine's name
	MachineID   string `json:"machine,omitempty"`
	PID         int    `json:"pid,omitempty"`
}

// ViewResponse is one process's view of the fleet.
type ViewResponse struct {
	Fleet          string       `json:"fleet"`
	Name           string       `json:"name"`
	Incarnation    uint64       `json:"incarnation"`
	Digest         string       `json:"digest"`
	Present        int          `json:"present"`
	Unreachable    int          `json:"lost"`
	PartitionedMS  int64        `json:"apart_ms,omitempty"` // since the first of those lost was
	Minority       bool         `json:"minority,omitempty"` // more than half is lost
	HealRounds     uint64       `json:"healed_in,omitempty"`
	AgreeingPeers  int          `json:"agree"`            // of the members heard lately, how many see the same
	ComparedPeers  int          `json:"compared"`         // and how many were heard
	DifferingPeers []string     `json:"differ,omitempty"` // and who sees another
	Members        []MemberView `json:"members"`
}

// FetchView asks a member for its view, at a URL; what is to be forgotten may be empty.
func FetchView(ctx context.Context, c *http.Client, url, forget string) (a ViewResponse, err error) {
	method := http.MethodGet
	if forget != "" {
		method, url = http.MethodPost, url+"?forget="+forget
	}
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return a, err
	}
	resp, err := c.Do(req)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	switch {
	case err != nil:
		return a, err
	case resp.StatusCode != http.StatusOK:
		return a, fmt.Errorf("%s answers %d: %.200s", url, resp.StatusCode, text)
	}
	if err := json.Unmarshal(text, &a); err != nil {
		return a, fmt.Errorf("%s: %w", url, err)
	}
	return a, nil
}

// SeedsFromViews finds where members listen by asking some for their views, the first that answers.
func SeedsFromViews(c *http.Client, urls []string) func(ctx context.Context) ([]string, error) {
	return func(ctx context.Context) (addrs []string, err error) {
		for _, url := range urls {
			var a ViewResponse
			if a, err = FetchView(ctx, c, url, ""); err != nil {
				continue
			}
			for _, m := range a.Members {
				if m.GossipAddr != "" && m.Status.CountsAsPresent() {
					addrs = append(addrs, m.GossipAddr)
				}
			}
			return addrs[:min(len(addrs), MaxSeeds)], nil
		}
		return nil, err
	}
}

// Difference is a member of which views differ.
type Difference struct {
	Name         string            `json:"name"`
	Incarnation  uint64            `json:"incarnation"`
	StatusByView map[string]Status `json:"status"` // by whose view it is
}

// StatusUnknown is a member that a view does not hold.
const StatusUnknown Status = "unknown"

// Diff compares views: who is there for one and not for another.
func Diff(views []ViewResponse) (all []Difference) {
	type id struct {
		name        string
		incarnation uint64
	}
	status := make(map[id]map[string]Status)
	for _, v := range views {
		for _, m := range v.Members {
			k := id{m.Name, m.Incarnation}
			if status[k] == nil {
				status[k] = make(map[string]Status)
			}
			status[k][v.Name] = m.Status
		}
	}
	for k, by := range status {
		here := 0
		for _, v := range views {
			if _, ok := by[v.Name]; !ok {
				by[v.Name] = StatusUnknown
			}
			if by[v.Name].CountsAsPresent() {
				here++
			}
		}
		if here != 0 && here != len(by) {
			all = append(all, Difference{k.name, k.incarnation, by})
		}
	}
	slices.SortFunc(all, func(a, b Difference) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return all
}
