package chaostest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"barleywick/internal/controller"
	"barleywick/internal/drain"
	"barleywick/internal/membership"
	"barleywick/internal/registry"
	"barleywick/internal/rollout"
	"barleywick/internal/testing/wait"
)

const (
	// callTimeout bounds one call of a check and one poll of the registry.
	callTimeout = 2 * time.Second
	// maxHealthText bounds how many bytes are read of a sidecar's response.
	maxHealthText = 4 << 10
)

// readHealth returns the text of a sidecar's page under /health/. It is empty if the sidecar does not respond.
func (r *run) readHealth(name, page string) string {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.httpAddrs[name]+"/health/"+page, nil)
	if err != nil {
		return ""
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxHealthText)) // an incomplete response is used as far as it was read
	return string(text)
}

// watchRegistry polls the registry. It passes drain marks on to the servers and checks that each
// fencing token is granted to one holder only.
func (r *run) watchRegistry(ctx context.Context) {
	holders := make(map[uint64]string) // by token
	for wait.Sleep(ctx, pollInterval) {
		pollCtx, cancel := context.WithTimeout(ctx, callTimeout)
		r.readDrainMarks(pollCtx)
		r.checkTokens(pollCtx, holders)
		cancel()
	}
}

// readDrainMarks passes the drain marks on to the servers.
func (r *run) readDrainMarks(ctx context.Context) {
	sent := time.Now()
	list, err := r.registry.Registrations(ctx)
	if err != nil {
		return
	}
	for _, s := range r.servers {
		_, marked := list.Marks[s.host]
		s.setDraining(marked, sent)
	}
	r.count("looks at the list", 1)
}

// checkTokens checks that no fencing token was granted to two holders. holders has the grants of earlier polls.
func (r *run) checkTokens(ctx context.Context, holders map[uint64]string) {
	list, err := r.registry.Leases(ctx, 0, 0)
	if err != nil {
		return
	}
	for _, l := range list.Leases {
		if l.Grant == nil {
			continue
		}
		holder := fmt.Sprintf("%s/%d for %s", l.Grant.Name, l.Grant.Incarnation, l.Name)
		if earlier, known := holders[l.Grant.Token]; !known {
			holders[l.Grant.Token] = holder
			r.count("grants", 1)
		} else if earlier != holder {
			r.violated("token %d was granted to two holders: %s and %s", l.Grant.Token, earlier, holder)
		}
	}
}

// checkSettled checks the invariants that must hold within settleTimeout after the last fault and
// after the operators have stopped.
func (r *run) checkSettled(ctx context.Context) {
	r.checkEventually(ctx, "all processes see all others", r.checkViews)
	r.checkEventually(ctx, "the last change of policy has settled", r.checkRolloutSettled)
	r.checkEventually(ctx, "all sidecars apply one policy", r.checkActivePolicies)
	r.checkEventually(ctx, "no drain hangs", r.checkDrainsDone)
	r.checkEventually(ctx, "each task has a holder", r.checkTasksHeld)
	r.checkEventually(ctx, "nothing acknowledged is lost", r.checkNoWriteLost)
	r.checkEventually(ctx, "the registry's backups are complete", r.checkBackups)
}

// checkEventually polls until a check succeeds, or records a violation.
func (r *run) checkEventually(ctx context.Context, invariant string, check func(context.Context) error) {
	var violation error
	began := time.Now()
	condition := func() bool {
		violation = check(ctx)
		return violation == nil
	}
	if err := waitUntil(ctx, settleTimeout, condition); err != nil {
		r.violated("%s: does not hold %v after the last fault: %v", invariant, settleTimeout, violation)
		return
	}
	r.recordEvent(InvariantEvent, "%s: after %v", invariant, time.Since(began).Round(10*time.Millisecond))
	r.count("promises at rest", 1)
}

// checkViews checks that every process sees all others and that all views are equal.
func (r *run) checkViews(ctx context.Context) error {
	digest := ""
	for _, name := range r.processNames() {
		view, err := r.fetchView(ctx, name)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if view.Present != len(r.Processes) || digest != "" && view.Digest != digest {
			return fmt.Errorf("%s sees %d of %d members, or its view differs from another one", name, view.Present, len(r.Processes))
		}
		digest = view.Digest
	}
	return nil
}

// fetchView returns a process's view of the membership.
func (r *run) fetchView(ctx context.Context, name string) (membership.ViewResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return membership.FetchView(ctx, http.DefaultClient, r.viewURL(name))
}

// checkRolloutSettled checks that no rollout is in progress.
func (r *run) checkRolloutSettled(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	st, err := r.registry.PolicyStatus(ctx, 0, 0)
	if err != nil {
		return err
	}
	if st.Stage != rollout.StageSettled {
		return fmt.Errorf("change %d: stage is %s, waiting for %v", st.Change.Number, st.Stage, st.WaitingFor)
	}
	return nil
}

// checkActivePolicies checks that all sidecars use the same policy.
func (r *run) checkActivePolicies(context.Context) error {
	byEpoch := make(map[string][]string)
	for _, name := range r.sidecars {
		epoch, _, _ := strings.Cut(r.readHealth(name, "policy"), ",")
		epoch = strings.TrimSpace(epoch)
		byEpoch[epoch] = append(byEpoch[epoch], name)
	}
	if len(byEpoch) != 1 || byEpoch[""] != nil {
		return errors.New(fmt.Sprint(byEpoch))
	}
	return nil
}

// checkDrainsDone checks that every drain that controllers run has finished.
func (r *run) checkDrainsDone(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	drains, err := r.drainWorkflow().Status(ctx)
	if err != nil {
		return err
	}
	for _, d := range drains {
		if d.Step != drain.Done && d.Owner == drain.OwnerControllers {
			return fmt.Errorf("drain of %s: step is %s: %s", d.Machine, d.Step, d.Note)
		}
	}
	return nil
}

// requiredLeases are the leases that must be held by a controller. Of the health checks, only the
// first and the last are listed.
var requiredLeases = []string{controller.DrainsLease, controller.PolicyLease, "copies", "overload", "health-0", "health-7"}

// checkTasksHeld checks that the lease of each task is held.
func (r *run) checkTasksHeld(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := r.registry.Leases(ctx, 0, 0)
	if err != nil {
		return err
	}
	for _, task := range requiredLeases {
		if !slices.ContainsFunc(list.Leases, func(l registry.Lease) bool { return l.Name == task && l.Grant != nil }) {
			return fmt.Errorf("lease %s has no holder", task)
		}
	}
	return nil
}

// checkNoWriteLost checks that every acknowledged write is present or was replaced by a later one.
func (r *run) checkNoWriteLost(ctx context.Context) error {
	r.mu.Lock()
	acknowledged := maps.Clone(r.acknowledged)
	r.mu.Unlock()
	for key, writes := range acknowledged {
		if err := r.checkRecord(ctx, key, writes); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
	}
	return nil
}

// checkRecord checks that none of a record's acknowledged writes is lost.
func (r *run) checkRecord(ctx context.Context, key string, writes []acknowledgedWrite) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rec, err := r.registry.Record(ctx, key)
	if err != nil {
		return err
	}
	for _, w := range writes {
		if w.version > rec.Version || w.version == rec.Version && w.value != string(rec.Value) {
			return fmt.Errorf("acknowledged version %d, %q; the registry has version %d, %q", w.version, w.value, rec.Version, rec.Value)
		}
	}
	return nil
}

// checkBackups checks that the newest backup that controllers saved can be read.
func (r *run) checkBackups(context.Context) error {
	folder := &controller.BackupFolder{Dir: r.backupDir(), Keep: 1}
	paths, err := folder.Paths()
	if err != nil {
		return err
	}
	if len(paths) == 0 {
		return errors.New("no backup of the registry was saved")
	}
	_, err = controller.ReadBackup(paths[len(paths)-1])
	return err
}

// checkRequests checks which requests ran at the servers, and the histories of the records.
func (r *run) checkRequests() {
	r.mu.Lock()
	nonIdempotent, calls := maps.Clone(r.nonIdempotentIDs), slices.Clone(r.calls)
	r.mu.Unlock()
	runCounts := make(map[string]int)
	for _, s := range r.servers {
		s.mu.Lock()
		for id, n := range s.runCounts {
			runCounts[id] += n
		}
		for name, after := range s.lateRequests {
			r.violated("a request of %s started at %s, which had been draining for %v", name, s.host, after.Round(time.Millisecond))
			r.keepLogTail(name)
		}
		s.mu.Unlock()
	}
	for id, n := range runCounts {
		r.count("requests that ran", 1)
		if n > 1 && nonIdempotent[id] {
			r.violated("non-idempotent request %s ran %d times", id, n)
		}
	}
	r.count("requests", r.sent.Load())
	r.count("served", r.served.Load())
	r.count("refused", r.refused.Load())
	r.count("failed", r.failed.Load())
	r.count("lost", r.lost.Load())
	r.checkLinearizability(calls)
}
