package emulator

import (
	"time"

	"barleywick/policy"
)

// Decider makes the decisions of one sidecar; policy.Balancer implements it.
type Decider interface {
	Start(now time.Duration)
	Request(now time.Duration, q policy.Request)
	Outcome(now time.Duration, o policy.Outcome)
	ClientGone(now time.Duration, id policy.RequestID)
	Wake(now time.Duration)
	Probed(now time.Duration, id policy.ServerID, ok bool, l policy.LoadReport)
	List(now time.Duration, kind policy.ListKind, entries []policy.Endpoint)
}

// DeciderOptions holds the arguments for a new Decider.
type DeciderOptions struct {
	Scenario *Scenario
	Sidecar  int
	Config   policy.Config
	Seed     uint64
	Host     policy.Host
}

// DeciderFactory returns a new Decider; it is called at each start of a sidecar.
type DeciderFactory func(DeciderOptions) (Decider, error)

// NewBalancer is the DeciderFactory of the decision module that the sidecar runs.
func NewBalancer(o DeciderOptions) (Decider, error) { return policy.New(o.Config, o.Seed, o.Host) }
