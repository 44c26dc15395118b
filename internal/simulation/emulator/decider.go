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

// DeciderOptions are the arguments for a new Decider, at one start of a sidecar.
type DeciderOptions struct {
	Scenario *Scenario
	Sidecar  int
	Config   policy.Config
	Seed     uint64
	Host     policy.Host
}

// DeciderFactory makes the Decider for one start of a sidecar.
type DeciderFactory func(DeciderOptions) (Decider, error)

// NewBalancer makes the product's decision module.
func NewBalancer(options DeciderOptions) (Decider, error) {
	return policy.New(options.Config, options.Seed, options.Host)
}
