package chaostest

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"barleywick/internal/controller"
	"barleywick/internal/drain"
	"barleywick/internal/membership"
	"barleywick/internal/rollout"
)

const (
	callTimeout = 2 * time.Second
	stopTimeout = 20 * time.Second // for a process that was told to end
	// allowedMemoryGrowth is by how much a process's memory may grow over a run, beyond a half: caches
	// and buffers that are bounded fill up. Descriptors may by moreOpen.
	allowedMemoryGrowth     = 24 << 20
	allowedDescriptorGrowth = 64
)

// readHealth is what a sidecar answers for people.
func (r *run) readHealth(name, what string) string {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.httpAddrs[name]+"/health/"+what, nil)
	if err != nil {
		return ""
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
	return string(text)
}

// watchRegistry looks at the registry again and again: which servers drain, and who holds what.
// A token is one holder's.
func (r *run) watchRegistry(ctx context.Context) {
	owner := make(map[uint64]string)
	for sleep(ctx, pollInterval) {
		in, cancel := context.WithTimeout(ctx, callTimeout)
		asked := time.Now()
		if list, err := r.registry.Registrations(in); err == nil {
			for _, s := range r.servers {
				_, marked := list.Marks[s.host]
				s.setDraining(marked, asked)
			}
			r.count("looks at the list", 1)
		}
		if all, err := r.registry.Leases(in, 0, 0); err == nil {
			for _, l := range all.Leases {
				if l.Grant == nil {
					continue
				}
				who := fmt.Sprintf("%s/%d for %s", l.Grant.Name, l.Grant.Incarnation, l.Name)
				if was, known := owner[l.Grant.Token]; known && was != who {
					r.violated("token %d was given to %s and to %s", l.Grant.Token, was, who)
				} else if !known {
					owner[l.Grant.Token] = who
					r.count("grants", 1)
				}
			}
		}
		cancel()
	}
}

// checkEventually waits until something holds, or says that it never did.
func (r *run) checkEventually(ctx context.Context, what string, holds func() (why string)) {
	why := ""
	began := time.Now()
	if err := waitUntil(ctx, settleTimeout, func() bool { why = holds(); return why == "" }); err != nil {
		r.violated("%s, %v after the last fault: %s", what, settleTimeout, why)
		return
	}
	r.recordEvent("promise", "%s: after %v", what, time.Since(began).Round(10*time.Millisecond))
	r.count("promises at rest", 1)
}

// checkSettled looks at everything when the last fault is over and operators rest.
func (r *run) checkSettled(ctx context.Context) {
	var st rollout.Status
	asks := func(do func(in context.Context) error) string {
		in, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := do(in); err != nil {
			return err.Error()
		}
		return ""
	}
	r.checkEventually(ctx, "all see all", func() string {
		digest := ""
		for _, name := range r.processNames() {
			var v membership.ViewResponse
			if why := asks(func(in context.Context) (err error) {
				v, err = membership.FetchView(in, http.DefaultClient, r.viewURL(name))
				return err
			}); why != "" {
				return name + ": " + why
			}
			if v.Present != len(r.Processes) || digest != "" && v.Digest != digest {
				return fmt.Sprintf("%s sees %d of %d", name, v.Present, len(r.Processes))
			}
			digest = v.Digest
		}
		return ""
	})
	r.checkEventually(ctx, "the last change of policy has settled", func() string {
		if why := asks(func(in context.Context) (err error) { st, err = r.registry.PolicyStatus(in, 0, 0); return err }); why != "" {
			return why
		}
		if st.Stage != rollout.StageSettled {
			return fmt.Sprintf("change %d is %s, it waits for %v", st.Change.Number, st.Stage, st.WaitingFor)
		}
		return ""
	})
	r.checkEventually(ctx, "all act by one policy", func() string {
		said := make(map[string][]string)
		for _, name := range r.sidecars {
			epoch, _, _ := strings.Cut(r.readHealth(name, "policy"), ",")
			said[strings.TrimSpace(epoch)] = append(said[strings.TrimSpace(epoch)], name)
		}
		if len(said) != 1 || said[""] != nil {
			return fmt.Sprint(said)
		}
		return ""
	})
	r.checkEventually(ctx, "no drain hangs", func() string {
		var all []drain.Drain
		if why := asks(func(in context.Context) (err error) { all, err = r.drainWorkflow().Status(in); return err }); why != "" {
			return why
		}
		for _, d := range all {
			if d.Step != drain.Done && d.Owner == drain.OwnerControllers {
				return fmt.Sprintf("%s is %s: %s", d.Machine, d.Step, d.Note)
			}
		}
		return ""
	})
	r.checkEventually(ctx, "each task is somebody's", func() string {
		held := make(map[string]bool)
		if why := asks(func(in context.Context) error {
			all, err := r.registry.Leases(in, 0, 0)
			for _, l := range all.Leases {
				held[l.Name] = l.Grant != nil
			}
			return err
		}); why != "" {
			return why
		}
		for _, task := range []string{controller.DrainsLease, controller.PolicyLease, "copies", "overload", "health-0", "health-7"} {
			if !held[task] {
				return task + " is nobody's"
			}
		}
		return ""
	})
	r.checkEventually(ctx, "nothing acknowledged is lost", func() string {
		r.mu.Lock()
		acked := maps.Clone(r.acknowledged)
		r.mu.Unlock()
		for key, all := range acked {
			if why := asks(func(in context.Context) error {
				rec, err := r.registry.Record(in, key)
				if err != nil {
					return fmt.Errorf("%s: %w", key, err)
				}
				for _, a := range all {
					if a.version > rec.Version || a.version == rec.Version && a.value != string(rec.Value) {
						return fmt.Errorf("%s: version %d, %q, was acknowledged; there is version %d, %q", key, a.version, a.value, rec.Version, rec.Value)
					}
				}
				return nil
			}); why != "" {
				return why
			}
		}
		return ""
	})
	r.checkEventually(ctx, "copies of the registry are whole", func() string {
		c := &controller.ListCache{Dir: filepath.Join(r.dir, "copies"), Keep: 1}
		all, err := c.Paths()
		if err != nil || len(all) == 0 {
			return fmt.Sprint("there are ", len(all), ": ", err)
		}
		if _, err := controller.ReadCachedList(all[len(all)-1]); err != nil {
			return err.Error()
		}
		return ""
	})
}

// checkRequests looks at what ran, and at the history of the records.
func (r *run) checkRequests() {
	r.mu.Lock()
	once, ops := maps.Clone(r.nonIdempotent), slices.Clone(r.calls)
	r.mu.Unlock()
	ran := make(map[string]int)
	for _, s := range r.servers {
		s.mu.Lock()
		for id, n := range s.runCounts {
			ran[id] += n
		}
		for name, after := range s.lateRequests {
			r.violated("a request of %s began at %s, which had been draining for %v", name, s.host, after.Round(time.Millisecond))
			r.keepLogTail(name)
		}
		s.mu.Unlock()
	}
	for id, n := range ran {
		r.count("requests that ran", 1)
		if n > 1 && once[id] {
			r.violated("%s, which must never run twice, ran %d times", id, n)
		}
	}
	for what, n := range map[string]uint64{"requests": r.sent.Load(), "served": r.served.Load(), "refused": r.refused.Load(), "failed": r.failed.Load(), "lost": r.lost.Load()} {
		r.count(what, n)
	}
	r.checkLinearizability(ops)
}
