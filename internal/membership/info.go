package membership

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"unicode"

	"barleywick/internal/registry"
)

// Role is what a member does in the fleet.
type Role string

// The roles. Their values are sent to other members.
const (
	RoleRegistry   Role = "registry"
	RoleController Role = "keeper"
	RoleSidecar    Role = "sidecar"
)

// Info is the metadata that a member announces about itself. It is sent in a single datagram, so the
// values and their JSON keys are short.
type Info struct {
	Name string `json:"n"`
	// Incarnation grows with each start of a process of that name: it is the start time in
	// microseconds, or a higher number if the clock was set back.
	Incarnation  uint64 `json:"i"`
	Role         Role   `json:"r"`
	Zone         string `json:"z,omitempty"`
	Version      string `json:"v,omitempty"`
	PolicyEpoch  uint64 `json:"p,omitempty"` // epoch of the fleet policy that it applies
	Phase        string `json:"d,omitempty"` // lifecycle state; empty: serving
	HTTPAddr     string `json:"h,omitempty"` // where it serves its view; of a replica: the registry's API
	RaftAddr     string `json:"f,omitempty"` // of a replica: where the other replicas reach it
	ReplicaID    string `json:"c,omitempty"` // of a replica
	MachineName  string `json:"w,omitempty"` // its machine's name in the registry
	MachineID    string `json:"m,omitempty"` // identifies the process, together with PID and ProcessStart, to members that can watch it
	PID          int    `json:"o,omitempty"`
	ProcessStart uint64 `json:"s,omitempty"`
	LongestActMS int64  `json:"a,omitempty"` // how long its longest timed act may take
}

const (
	maxNameBytes    = 32 // of zones, machines and replicas
	maxVersionBytes = 24
	maxPhaseBytes   = 24
	// maxMetaBytes is memberlist's limit on a member's metadata (memberlist.MetaMaxSize).
	maxMetaBytes = 512
)

// Key returns the key that identifies one start of a process: its name and incarnation.
func (i Info) Key() string { return memberKey(i.Name, i.Incarnation) }

func memberKey(name string, incarnation uint64) string {
	return name + "/" + strconv.FormatUint(incarnation, 10)
}

// Check validates the metadata.
func (i Info) Check() error {
	if err := registry.CheckName("name", i.Name); err != nil {
		return err
	}
	if i.Role != RoleRegistry && i.Role != RoleController && i.Role != RoleSidecar {
		return fmt.Errorf("role is %.32q, want %s, %s or %s", i.Role, RoleRegistry, RoleController, RoleSidecar)
	}
	if err := i.checkTexts(); err != nil {
		return err
	}
	if err := i.checkAddresses(); err != nil {
		return err
	}
	if i.LongestActMS < 0 || i.PID < 0 {
		return fmt.Errorf("longest act is %d ms, pid is %d: neither may be negative", i.LongestActMS, i.PID)
	}
	return nil
}

func (i Info) checkTexts() error {
	for _, field := range []struct {
		name, text string
		maxBytes   int
	}{
		{"zone", i.Zone, maxNameBytes},
		{"version", i.Version, maxVersionBytes},
		{"phase", i.Phase, maxPhaseBytes},
		{"machine", i.MachineID, maxNameBytes},
		{"host", i.MachineName, maxNameBytes},
		{"id", i.ReplicaID, maxNameBytes},
	} {
		if len(field.text) > field.maxBytes || strings.ContainsFunc(field.text, unicode.IsControl) {
			return fmt.Errorf("%s %.64q has more than %d bytes, or control characters", field.name, field.text, field.maxBytes)
		}
	}
	return nil
}

func (i Info) checkAddresses() error {
	for _, field := range []struct{ name, address string }{{"http", i.HTTPAddr}, {"raft", i.RaftAddr}} {
		if field.address != "" && !isLoopbackAddress(field.address) {
			return fmt.Errorf("%s %.64q is not a loopback address with a port", field.name, field.address)
		}
	}
	return nil
}

// Encode returns the metadata as it is sent to other members.
func (i Info) Encode() ([]byte, error) {
	if err := i.Check(); err != nil {
		return nil, err
	}
	text, err := json.Marshal(i)
	if err == nil && len(text) > maxMetaBytes {
		err = fmt.Errorf("metadata has %d bytes, want %d at most: use a shorter name or zone", len(text), maxMetaBytes)
	}
	return text, err
}

// DecodeInfo reads and validates another member's metadata. Fields of a newer version are
// ignored.
func DecodeInfo(text []byte) (i Info, err error) {
	if len(text) > maxMetaBytes {
		return i, fmt.Errorf("metadata has %d bytes, want %d at most", len(text), maxMetaBytes)
	}
	if err := json.Unmarshal(text, &i); err != nil {
		return i, err
	}
	return i, i.Check()
}
