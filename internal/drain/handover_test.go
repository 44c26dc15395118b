package drain

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"barleywick/internal/registry"
)

// errUnreachable stands for the registry client's error where a call has no time left.
var errUnreachable = errors.New("no replica of the registry answers")

// timedRegistry makes no call whose context has ended, as the registry's client does.
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

// What happens: a drain was handed over, its deadline passes while no controller runs, and it
// is never undone: its servers stay marked, every 5 s the log says `drain: failed` with `no
// replica of the registry answers`, which they all do. Why: the controller that comes back
// gives the drain a context that ends at the deadline, so that it has ended before the first
// call, and only a drain that was claimed within that context is undone. The deadline is told
// by another clock than the one the workflow has, too.
func TestDrainWhoseDeadlineHasPassedIsUndone(t *testing.T) {
	const deadline = time.Minute
	for _, late := range []time.Duration{time.Second, time.Hour} {
		for _, step := range []Step{Claimed, Marked} {
			name := fmt.Sprintf("%v late, at step %s", late, step)
			w := newWorld(t)
			w.watchStuck = true // the drain does not come further than Marked
			ctx, giveUp := context.WithCancel(t.Context())
			defer giveUp()
			operator := w.operator("ops-a").workflow()
			if err := operator.HandOver(ctx, "m-1", w.now.Add(deadline)); err != nil {
				t.Fatal(err)
			}
			controllers := func() *Workflow {
				controller := w.operator(OwnerControllers)
				controller.hook = func(call int) {
					if call > 100 {
						giveUp() // it goes on as if there were no deadline
					}
				}
				o := controller.workflow()
				o.Registry = timedRegistry{o.Registry}
				return o
			}
			if step == Marked {
				first, stop := context.WithCancel(ctx)
				o := controllers()
				o.OnEvent = func(e Event) {
					if e.Step == Marked {
						stop() // the last controller ends
					}
				}
				resumeHandedOver(first, t, o)
				stop()
			}
			w.now = w.now.Add(deadline + late) // nobody runs meanwhile, or the wall clock is set ahead
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
	handed, err := w.HandedOver(context.Background())
	if err != nil || len(handed) != 1 {
		t.Fatalf("got %d drains that were handed over, error %v; want one", len(handed), err)
	}
	return w.Resume(ctx, handed[0])
}
