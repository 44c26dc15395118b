package membership

// ViewPath is the path of a member's view, below the prefix under which the member serves.
const ViewPath = "fleet"

// maxResponseBytes bounds the response with a view. It allows for maxMembers members of maximum size.
const maxResponseBytes = 4 << 20

// MemberView is one member in a ViewResponse.
type MemberView struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Role        Role   `json:"role"`
	Status      Status `json:"status"`
	StatusAgeMS int64  `json:"for_ms"`       // how long it has had this status
	Evidence    string `json:"by,omitempty"` // as Member.Evidence
	Zone        string `json:"zone,omitempty"`
	Version     string `json:"version,omitempty"`
	PolicyEpoch uint64 `json:"policy_epoch,omitempty"`
	Phase       string `json:"phase,omitempty"`
	GossipAddr  string `json:"at,omitempty"`   // where it listens to other members
	HTTPAddr    string `json:"http,omitempty"` // where it serves its view
	MachineName string `json:"host,omitempty"` // its machine's name in the registry
	MachineID   string `json:"machine,omitempty"`
	PID         int    `json:"pid,omitempty"`
}

// ViewResponse is the view of one process in the form in which it is served.
type ViewResponse struct {
	Fleet          string       `json:"fleet"`
	Name           string       `json:"name"`
	Incarnation    uint64       `json:"incarnation"`
	Digest         string       `json:"digest"`
	Present        int          `json:"present"`
	Unreachable    int          `json:"lost"`
	PartitionedMS  int64        `json:"apart_ms,omitempty"` // time since the first of the unreachable members became unreachable
	Minority       bool         `json:"minority,omitempty"` // more than half of the fleet is unreachable
	HealRounds     uint64       `json:"healed_in,omitempty"`
	AgreeingPeers  int          `json:"agree"`            // members with a recent digest equal to this one's
	ComparedPeers  int          `json:"compared"`         // members with a recent digest
	DifferingPeers []string     `json:"differ,omitempty"` // keys of those whose digest differs
	Members        []MemberView `json:"members"`
}
