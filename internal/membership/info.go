// Package membership is what processes of the fleet know of each other without asking
// anybody: what a member says of itself, and a view of all as a state machine. It does no
// I/O but to ask another for its view; gossip/ is the network's part. A view is quick and
// may be wrong; the registry tells for sure and may be out of reach. docs/MEMBERSHIP.md
// has the rules by which one or the other counts.
package membership

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"unicode"

	"barleywick/internal/registry"
)

// Role is what a process does.
type Role string

// The roles.
const (
	RoleRegistry   Role = "registry"
	RoleController Role = "keeper"
	RoleSidecar    Role = "sidecar"
)

// Info is what a member says of itself. All of it travels in one datagram, so it is
// short, and so are its names.
type Info struct {
	Name string `json:"n"`
	// Incarnation is higher with each start of a process of that name: the start's time in
	// microseconds, or more where the clock was set back.
	Incarnation uint64 `json:"i"`
	Role        Role   `json:"r"`
	Zone        string `json:"z,omitempty"`
	Version     string `json:"v,omitempty"`
	PolicyEpoch uint64 `json:"p,omitempty"` // epoch of the fleet's policy that it acts by
	Phase       string `json:"d,omitempty"` // how far it is in its life; empty: it serves
	HTTPAddr    string `json:"h,omitempty"` // where it can be asked; of a registry's replica: where it serves
	RaftAddr    string `json:"f,omitempty"` // where a registry's replica is reached by the others
	ReplicaID   string `json:"c,omitempty"` // of a registry's replica
	MachineName string `json:"w,omitempty"` // its machine's name, as the registry has it
	// Where its process is, for members that can see it end.
	MachineID    string `json:"m,omitempty"`
	PID          int    `json:"o,omitempty"`
	ProcessStart uint64 `json:"s,omitempty"`
	LongestActMS int64  `json:"a,omitempty"` // how long its longest timed act may go on
}

const (
	maxZoneBytes, maxVersionBytes, maxPhaseBytes = 32, 24, 24
	// maxMetaBytes is what memberlist carries of a member (memberlist.MetaMaxSize).
	maxMetaBytes = 512
)

// Key tells a start of a process from all others.
func (i Info) Key() string { return memberKey(i.Name, i.Incarnation) }

func memberKey(name string, incarnation uint64) string {
	return name + "/" + strconv.FormatUint(incarnation, 10)
}

// Check says in one line what is wrong.
func (i Info) Check() error {
	if err := registry.CheckName("name", i.Name); err != nil {
		return err
	}
	if i.Role != RoleRegistry && i.Role != RoleController && i.Role != RoleSidecar {
		return fmt.Errorf("role is %.32q; there are %s, %s and %s", i.Role, RoleRegistry, RoleController, RoleSidecar)
	}
	for _, f := range []struct {
		name, text string
		most       int
	}{{"zone", i.Zone, maxZoneBytes}, {"version", i.Version, maxVersionBytes}, {"phase", i.Phase, maxPhaseBytes}, {"machine", i.MachineID, maxZoneBytes}, {"host", i.MachineName, maxZoneBytes}, {"id", i.ReplicaID, maxZoneBytes}} {
		if len(f.text) > f.most || strings.ContainsFunc(f.text, unicode.IsControl) {
			return fmt.Errorf("%s %.64q has more than %d bytes, or signs that cannot be shown", f.name, f.text, f.most)
		}
	}
	for _, f := range [][2]string{{"http", i.HTTPAddr}, {"raft", i.RaftAddr}} {
		if a, err := netip.ParseAddrPort(f[1]); f[1] != "" && (err != nil || !a.Addr().Unmap().IsLoopback()) {
			return fmt.Errorf("%s %.64q is not a loopback address with a port", f[0], f[1])
		}
	}
	if i.LongestActMS < 0 || i.PID < 0 {
		return fmt.Errorf("acts_ms is %d, pid is %d: neither may be negative", i.LongestActMS, i.PID)
	}
	return nil
}

// Encode is the Info as it travels.
func (i Info) Encode() ([]byte, error) {
	if err := i.Check(); err != nil {
		return nil, err
	}
	text, err := json.Marshal(i)
	if err == nil && len(text) > maxMetaBytes {
		err = fmt.Errorf("what a member says of itself takes %d bytes, %d at most: a shorter name or zone is needed", len(text), maxMetaBytes)
	}
	return text, err
}

// DecodeInfo reads what another member says of itself. Fields that a newer build has are
// passed over.
func DecodeInfo(text []byte) (i Info, err error) {
	if len(text) > maxMetaBytes {
		return i, fmt.Errorf("%d bytes, %d at most", len(text), maxMetaBytes)
	}
	if err := json.Unmarshal(text, &i); err != nil {
		return i, err
	}
	return i, i.Check()
}
