// Package rollout is a change of policy that takes hold at all sidecars or at none:
// the document, and the workflow as a state machine without I/O and without a clock.
// It is part of the registry's state and moves by Raft; docs/POLICY.md tells how it
// is used.
package rollout

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Mode says what a sidecar does that is cut off from the registry.
type Mode string

// The modes.
const (
	ModeCarry  Mode = "carry"  // it serves on by what it holds, and a change waits for it
	ModeRefuse Mode = "refuse" // it refuses new requests, and a change waits for its lease at most
)

// Document is a policy: what each sidecar acts by.
type Document struct {
	FormatVersion int      `json:"form" toml:"form"` // of the document itself
	Mode          Mode     `json:"mode" toml:"mode"`
	Tenants       []Tenant `json:"tenants" toml:"tenants"`
	// MaxAttempts bounds the attempts for a request, the first among them; 0: as configured.
	MaxAttempts int `json:"most_tries,omitempty" toml:"most_tries"`
	// NoProbes keeps sidecars from probing servers.
	NoProbes bool `json:"no_probes,omitempty" toml:"no_probes"`
	// MaxClientConnections and Servers bound a sidecar's connections on both sides; 0: as configured.
	MaxClientConnections int `json:"client_connections,omitempty" toml:"client_connections"`
	MaxServerConnections int `json:"server_connections,omitempty" toml:"server_connections"`

	unknownField string // what this build does not know of it
}

// Tenant is one tenant's walls at each sidecar.
type Tenant struct {
	Name        string `json:"name" toml:"name"`
	Slots       int    `json:"slots" toml:"slots"`   // requests at servers at once; 0: it is served no more
	QueuePlaces int    `json:"places" toml:"places"` // and that wait
}

const (
	formatVersion = 1
	maxTenants    = 256
	maxSlots      = 1 << 16
	maxAttempts   = 16
	maxName       = 128
	maxDocument   = 32 << 10
)

// Check returns an error that begins with the first field that cannot be.
func (d *Document) Check() error {
	switch {
	case d.unknownField != "":
		return fmt.Errorf("%s: this build does not know it", d.unknownField)
	case d.FormatVersion != formatVersion:
		return fmt.Errorf("form is %d, this build knows %d", d.FormatVersion, formatVersion)
	case d.Mode != ModeCarry && d.Mode != ModeRefuse:
		return fmt.Errorf("mode is %.32q; there are carry and refuse", d.Mode)
	case len(d.Tenants) == 0 || len(d.Tenants) > maxTenants:
		return fmt.Errorf("tenants: %d are named, 1 to %d are needed", len(d.Tenants), maxTenants)
	case d.MaxAttempts < 0 || d.MaxAttempts > maxAttempts:
		return fmt.Errorf("most_tries is %d, it must lie between 0 and %d", d.MaxAttempts, maxAttempts)
	case d.MaxClientConnections < 0 || d.MaxClientConnections > maxSlots:
		return fmt.Errorf("client_connections is %d, it must lie between 0 and %d", d.MaxClientConnections, maxSlots)
	case d.MaxServerConnections < 0 || d.MaxServerConnections > maxSlots:
		return fmt.Errorf("server_connections is %d, it must lie between 0 and %d", d.MaxServerConnections, maxSlots)
	}
	seen := make(map[string]bool)
	any := false
	for i, t := range d.Tenants {
		switch {
		case t.Name == "" && len(d.Tenants) > 1, len(t.Name) > maxName:
			return fmt.Errorf("tenants[%d].name is missing or longer than %d", i, maxName)
		case seen[t.Name]:
			return fmt.Errorf("tenants[%d].name %q is there twice", i, t.Name)
		case t.Slots < 0 || t.Slots > maxSlots:
			return fmt.Errorf("tenants[%d].slots is %d, it must lie between 0 and %d", i, t.Slots, maxSlots)
		case t.QueuePlaces < 0 || t.QueuePlaces > maxSlots:
			return fmt.Errorf("tenants[%d].places is %d, it must lie between 0 and %d", i, t.QueuePlaces, maxSlots)
		case t.Slots > 0 && t.QueuePlaces == 0:
			return fmt.Errorf("tenants[%d].places is 0, a tenant with slots needs at least one", i)
		}
		seen[t.Name] = true
		any = any || t.Slots > 0
	}
	if !any {
		return fmt.Errorf("tenants: none has slots, nobody would be served")
	}
	return nil
}

// Tenant returns a tenant's walls; one that the document does not name has none.
func (d *Document) Tenant(name string) Tenant {
	if i := slices.IndexFunc(d.Tenants, func(t Tenant) bool { return t.Name == name }); i >= 0 {
		return d.Tenants[i]
	}
	return Tenant{Name: name}
}

// Stricter is the policy that allows what both allow, field by field. Whoever acts by
// it takes no more than either alone would.
func Stricter(a, b *Document) *Document {
	j := &Document{FormatVersion: formatVersion, Mode: a.Mode, MaxAttempts: stricterLimit(a.MaxAttempts, b.MaxAttempts), NoProbes: a.NoProbes || b.NoProbes,
		MaxClientConnections: stricterLimit(a.MaxClientConnections, b.MaxClientConnections), MaxServerConnections: stricterLimit(a.MaxServerConnections, b.MaxServerConnections)}
	if b.Mode == ModeRefuse {
		j.Mode = ModeRefuse
	}
	for _, t := range a.Tenants {
		o := b.Tenant(t.Name)
		j.Tenants = append(j.Tenants, Tenant{t.Name, min(t.Slots, o.Slots), min(t.QueuePlaces, o.QueuePlaces)})
	}
	for _, t := range b.Tenants { // those that the other does not name have nothing yet
		if !slices.ContainsFunc(a.Tenants, func(o Tenant) bool { return o.Name == t.Name }) {
			j.Tenants = append(j.Tenants, Tenant{Name: t.Name})
		}
	}
	return j
}

// stricterLimit is the lower of two bounds, of which 0 is none.
func stricterLimit(a, b int) int {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// Checksum is the document's checksum.
func (d *Document) Checksum() string {
	text, err := json.Marshal(d)
	if err != nil {
		panic(fmt.Sprintf("rollout: a document that cannot be written: %v", err)) // texts and numbers can
	}
	return Checksum(text)
}

// Checksum is short, and tells texts apart that were not made to be alike.
func Checksum(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:8])
}

// UnmarshalJSON reads a document. One with fields that this build does not know is read
// as far as it can be: Check refuses it, with their name.
func (d *Document) UnmarshalJSON(text []byte) error {
	type plain Document
	var p plain
	if err := json.Unmarshal(text, &p); err != nil {
		return err
	}
	strict := json.NewDecoder(bytes.NewReader(text))
	strict.DisallowUnknownFields()
	if err := strict.Decode(new(plain)); err != nil {
		p.unknownField = strings.TrimPrefix(err.Error(), "json: ")
	}
	*d = Document(p)
	return nil
}
