package remoteadapter

import (
	"fmt"
	"time"

	"barleywick/internal/simulation/simwire"
	"barleywick/policy"
)

// unlimitedTimeout replaces a timeout of 0: the client's deadline ends the attempt earlier.
const unlimitedTimeout = time.Hour

// performAll executes the actions of a reply.
func (i *instance) performAll(now time.Duration, reply simwire.Reply) error {
	body := reply.Body
	for range reply.Records {
		record, rest, err := simwire.NextRecord(body)
		if err != nil {
			return err
		}
		body = rest
		action, err := record.Action()
		if err != nil {
			return err
		}
		if err := i.perform(now, action); err != nil {
			return err
		}
	}
	return nil
}

// perform executes an action. Log lines and actions with an unknown code are ignored.
func (i *instance) perform(now time.Duration, a simwire.Action) error {
	if a.Instance != i.number {
		return fmt.Errorf("action for instance %d, want an action for the instance that got the event", a.Instance)
	}
	switch a.Code {
	case simwire.ActionCallOut:
		return i.callOut(now, a)
	case simwire.ActionRecall:
		return i.recall(a)
	case simwire.ActionPushBack:
		i.answer(a.Job, func() { i.host.Refuse(policy.RequestID(a.Job), a.Duration) })
	case simwire.ActionLose:
		i.answer(a.Job, func() { i.host.Fail(policy.RequestID(a.Job)) })
	case simwire.ActionSetAlarm:
		i.host.Wake(a.Duration)
	case simwire.ActionInspect:
		i.host.Probe(policy.ServerID(a.To))
	case simwire.ActionTail:
		if a.On {
			i.host.WatchList()
		}
	case simwire.ActionDie:
		return fmt.Errorf("the decision code has failed: %.200s", a.Text)
	}
	return nil
}

// callOut starts an attempt.
func (i *instance) callOut(now time.Duration, a simwire.Action) error {
	r := i.requests[a.Job]
	if r == nil {
		return unknownRequest(a)
	}
	r.attempts = append(r.attempts, attempt{server: a.To, sentAt: now})
	timeout := a.Duration
	if timeout == 0 {
		timeout = unlimitedTimeout
	}
	i.host.Send(policy.RequestID(a.Job), policy.ServerID(a.To), timeout, 0)
	return nil
}

// recall cancels an attempt.
func (i *instance) recall(a simwire.Action) error {
	if i.requests[a.Job] == nil {
		return unknownRequest(a)
	}
	i.host.Cancel(policy.RequestID(a.Job), int(a.Hop))
	return nil
}

// answer ends a request. The protocol allows an answer to a request that has just ended; it is ignored.
func (i *instance) answer(job uint32, end func()) {
	r := i.requests[job]
	if r == nil {
		return
	}
	r.closed = true
	end()
	i.forget(job)
}

func unknownRequest(a simwire.Action) error {
	return fmt.Errorf("action %d for unknown request %d", a.Code, a.Job)
}
