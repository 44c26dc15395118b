package rollout

// HistoryEntry is a policy that was proposed: in force, or refused.
type HistoryEntry struct {
	Change
	Checksum string `json:"sum"`
	Outcome  string `json:"outcome"` // committed, or why not
	EndedMS  int64  `json:"ended_ms"`
}

const (
	maxRoster  = 4096
	maxHistory = 64
	maxEvicted = 1024
	maxReason  = 512
	// MaxWithinMS is the longest time that a change may take, in ms.
	MaxWithinMS = 7 * 24 * 3600 * 1000
)
