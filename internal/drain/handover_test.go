package drain

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"barleywick/internal/registry"
)

// errUnreachable is like the registry client's error for a call whose context has ended.
var errUnreachable = errors.New("no replica of the registry answers")

// timedRegistry fails calls whose context has ended, as the registry's client does.
type timedRegistry struct{ Registry }

func (r timedRegistry) Registrations(ctx context.Context) (registry.RegistrationsResponse, error) {
	if ctx.Err() != nil {
		return registry.RegistrationsResponse{}, errUnreachable
	}
	return r.Registry.Registrations(ctx)
}

func (r timedRegistry) Record(ctx context.Context, key string) (registry.Record, error) {
	if ctx.Err() != nil {
		return registry.Record{}, errUnreachable
	}
	return r.Registry.Record(ctx, key)
}

// Guards against a drain that was handed over and is never undone, although its deadline passed
// while no controller ran. The next controller used to run the drain with a context that had ended
// at the deadline, so every call failed, but only a drain claimed within that context was undone.
// The servers stayed marked, and every 5 s the log had `drain: failed` with `no replica of the
// registry answers` although all replicas responded. The context also measured the deadline by
// another clock than the workflow's.
func TestDrainWhoseDeadlineHasPassedIsUndone(t *testing.T) {
	const deadline = time.Minute
	for _, late := range []time.Duration{time.Second, time.Hour} {
		for _, step := range []Step{Claimed, Marked} {
			name := fmt.Sprintf("%v late, at step %s", late, step)
			w := newWorld(t)
			w.watchStuck = true // the drain does not get beyond the step Marked
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			operator := w.operator("ops-a").workflow()
			if err := operator.HandOver(ctx, "m-1", w.now.Add(deadline)); err != nil {
				t.Fatal(err)
			}
			controllers := func() *Workflow {
				controller := w.operator(OwnerControllers)
				controller.hook = func(call int) {
					if call > 100 {
						cancel() // the drain ignores its deadline
					}
				}
				o := controller.workflow()
				o.Registry = timedRegistry{o.Registry}
				return o
			}
			if step == Marked {
				first, stopController := context.WithCancel(ctx)
				o := controllers()
				o.OnEvent = func(e Event) {
					if e.Step == Marked {
						stopController() // the last controller ends
					}
				}
				resumeHandedOver(first, t, o)
				stopController()
			}
			w.now = w.now.Add(deadline + late) // no controller runs meanwhile, or the wall clock is set ahead
			if err := resumeHandedOver(ctx, t, controllers()); !errors.Is(err, ErrTimeout) {
				t.Errorf("%s: got %v, want %v", name, err, ErrTimeout)
			}
			w.check(name, "m-1", false)
		}
	}
}

// resumeHandedOver resumes the one drain that was handed over.
func resumeHandedOver(ctx context.Context, t *testing.T, w *Workflow) error {
	t.Helper()
	handedOver, err := w.HandedOver(context.Background())
	if err != nil || len(handedOver) != 1 {
		t.Fatalf("got %d drains that were handed over, error %v; want one", len(handedOver), err)
	}
	return w.Resume(ctx, handedOver[0])
}
