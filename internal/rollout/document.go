package rollout

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
)

const (
	formatVersion = 1
	maxTenants    = 256
	maxSlots      = 1 << 16 // also of queue places, and of connections
	maxAttempts   = 16
	maxNameBytes  = 128
)

// Mode is the behaviour of a sidecar that cannot reach the registry.
type Mode string

// The modes.
const (
	ModeCarry  Mode = "carry"  // it continues to serve by its last policy, and a change waits for it
	ModeRefuse Mode = "refuse" // it refuses new requests, and a change waits for it at most until its roster lease ends
)

// Document is a fleet policy, by which each sidecar acts.
type Document struct {
	FormatVersion int      `json:"form" toml:"form"`
	Mode          Mode     `json:"mode" toml:"mode"`
	Tenants       []Tenant `json:"tenants" toml:"tenants"`
	// MaxAttempts limits the attempts of a request, the first included; 0: as configured.
	MaxAttempts int `json:"most_tries,omitempty" toml:"most_tries"`
	// NoProbes keeps sidecars from probing servers.
	NoProbes bool `json:"no_probes,omitempty" toml:"no_probes"`
	// MaxClientConnections and MaxServerConnections limit the connections of a sidecar; 0:
	// as configured.
	MaxClientConnections int `json:"client_connections,omitempty" toml:"client_connections"`
	MaxServerConnections int `json:"server_connections,omitempty" toml:"server_connections"`

	unknownField string // names a field that this build does not support
}

// Tenant is the bulkhead capacity of one tenant at each sidecar.
type Tenant struct {
	Name        string `json:"name" toml:"name"`
	Slots       int    `json:"slots" toml:"slots"` // requests in flight; 0: the tenant is not served
	QueuePlaces int    `json:"places" toml:"places"`
}

// Check returns an error that begins with the name of the first invalid field.
func (d *Document) Check() error {
	if err := d.checkFields(); err != nil {
		return err
	}
	return d.checkTenants()
}

func (d *Document) checkFields() error {
	switch {
	case d.unknownField != "":
		return fmt.Errorf("%s: this build does not know it", d.unknownField)
	case d.FormatVersion != formatVersion:
		return fmt.Errorf("form is %d, this build knows %d", d.FormatVersion, formatVersion)
	case d.Mode != ModeCarry && d.Mode != ModeRefuse:
		return fmt.Errorf("mode is %.32q; there are carry and refuse", d.Mode)
	case len(d.Tenants) == 0 || len(d.Tenants) > maxTenants:
		return fmt.Errorf("tenants: %d are named, 1 to %d are needed", len(d.Tenants), maxTenants)
	}
	return checkRanges([]numberRange{
		{"most_tries", d.MaxAttempts, maxAttempts},
		{"client_connections", d.MaxClientConnections, maxSlots},
		{"server_connections", d.MaxServerConnections, maxSlots},
	})
}

func (d *Document) checkTenants() error {
	seen := make(map[string]bool)
	served := false
	for i, t := range d.Tenants {
		field := fmt.Sprintf("tenants[%d]", i)
		switch {
		case t.Name == "" && len(d.Tenants) > 1, len(t.Name) > maxNameBytes:
			return fmt.Errorf("%s.name is missing or longer than %d", field, maxNameBytes)
		case seen[t.Name]:
			return fmt.Errorf("%s.name %q is there twice", field, t.Name)
		}
		if err := t.checkCapacity(field); err != nil {
			return err
		}
		seen[t.Name] = true
		served = served || t.Slots > 0
	}
	if !served {
		return errors.New("tenants: none has slots, nobody would be served")
	}
	return nil
}

func (t Tenant) checkCapacity(field string) error {
	if err := checkRanges([]numberRange{
		{field + ".slots", t.Slots, maxSlots},
		{field + ".places", t.QueuePlaces, maxSlots},
	}); err != nil {
		return err
	}
	if t.Slots > 0 && t.QueuePlaces == 0 {
		return fmt.Errorf("%s.places is 0, a tenant with slots needs at least one", field)
	}
	return nil
}

// numberRange is a field whose value lies between 0 and a maximum.
type numberRange struct {
	field      string
	value, max int
}

func checkRanges(ranges []numberRange) error {
	for _, r := range ranges {
		if r.value < 0 || r.value > r.max {
			return fmt.Errorf("%s is %d, it must lie between 0 and %d", r.field, r.value, r.max)
		}
	}
	return nil
}

// Tenant returns the capacity of a tenant; a tenant that the document does not name has none.
func (d *Document) Tenant(name string) Tenant {
	if t, ok := d.findTenant(name); ok {
		return t
	}
	return Tenant{Name: name}
}

func (d *Document) findTenant(name string) (Tenant, bool) {
	i := slices.IndexFunc(d.Tenants, func(t Tenant) bool { return t.Name == name })
	if i < 0 {
		return Tenant{}, false
	}
	return d.Tenants[i], true
}

// Stricter returns the policy that allows only what both policies allow, field by field. A
// sidecar that applies it admits no more than under either of them.
func Stricter(a, b *Document) *Document {
	j := &Document{
		FormatVersion:        formatVersion,
		Mode:                 a.Mode,
		MaxAttempts:          stricterLimit(a.MaxAttempts, b.MaxAttempts),
		NoProbes:             a.NoProbes || b.NoProbes,
		MaxClientConnections: stricterLimit(a.MaxClientConnections, b.MaxClientConnections),
		MaxServerConnections: stricterLimit(a.MaxServerConnections, b.MaxServerConnections),
	}
	if b.Mode == ModeRefuse {
		j.Mode = ModeRefuse
	}
	for _, t := range a.Tenants {
		other := b.Tenant(t.Name)
		j.Tenants = append(j.Tenants, Tenant{t.Name, min(t.Slots, other.Slots), min(t.QueuePlaces, other.QueuePlaces)})
	}
	for _, t := range b.Tenants {
		if _, both := a.findTenant(t.Name); !both {
			j.Tenants = append(j.Tenants, Tenant{Name: t.Name})
		}
	}
	return j
}

// stricterLimit returns the lower of two limits; 0 means no limit.
func stricterLimit(a, b int) int {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// Checksum returns the checksum of the document as JSON.
func (d *Document) Checksum() string {
	text, err := json.Marshal(d)
	if err != nil {
		panic(fmt.Sprintf("rollout: cannot encode a document as JSON: %v", err)) // its strings and numbers can always be encoded
	}
	return Checksum(text)
}

// Checksum returns a short checksum, which detects accidental differences but not deliberate
// collisions.
func Checksum(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:8])
}

// UnmarshalJSON reads a document. A field that this build does not support is not an error
// here, but Check rejects the document and names the field.
func (d *Document) UnmarshalJSON(text []byte) error {
	type plain Document // without the method UnmarshalJSON
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
