package membership

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
