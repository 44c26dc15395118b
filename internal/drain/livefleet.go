package drain

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"barleywick/internal/membership"
	"barleywick/internal/registry"
	"barleywick/internal/settings"
)

const (
	// notificationDeadline is the time after which a sidecar counts as notified of a change of
	// the endpoint list by the protocol, whether it has received it or not.
	notificationDeadline = 6 * time.Second
	// callTimeout is for one call to a member of the fleet or a server.
	callTimeout    = time.Second
	maxReportBytes = 4 << 10
	maxOutputShown = 300 // bytes of a failed command's output
	// stopOutputDelay is for how long a stop command's output is read after its end. A process that
	// it has started may hold it open for ever.
	stopOutputDelay = time.Second
)

// ReplicaStatuses asks every replica of the registry for its status. Those that do not answer
// are missing in got; all says whether none is.
type ReplicaStatuses func(ctx context.Context) (got []registry.StatusResponse, all bool)

// LiveFleet is the Fleet of real processes: it uses the registry's watches, the booking
// servers' load reports, and a command that stops a server.
type LiveFleet struct {
	Statuses ReplicaStatuses
	// Sidecars is how many sidecars the fleet has; 0: not known. If so many watches have a
	// version of the endpoint list, all sidecars are notified.
	Sidecars int
	// MaxRequestTime is the longest time that a client gives a request. A server without load
	// reports has no work after that.
	MaxRequestTime time.Duration
	// StopCommand stops a server; {machine} and {host} stand for their names. If it is empty,
	// the operator stops the server.
	StopCommand []string
	Now         func() time.Time
	// MembershipURLs are where a view of the fleet's members can be had. If there are none, the
	// machine's other processes are not waited for.
	MembershipURLs []string
}

// RemainingMembers takes them from the first view of the fleet that it gets. An unreachable member
// counts, since it may be cut off and still carry traffic: the wait for it ends when it says
// goodbye, when its end was seen, or when an operator says so.
func (f *LiveFleet) RemainingMembers(ctx context.Context, machine string) (names []string, wait bool, err error) {
	if len(f.MembershipURLs) == 0 {
		return nil, false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, url := range f.MembershipURLs {
		var view membership.ViewResponse
		if view, err = membership.FetchView(ctx, http.DefaultClient, url); err != nil {
			continue
		}
		for _, m := range view.Members {
			if m.MachineName == machine && (m.Status.CountsAsPresent() || m.Status == membership.StatusUnreachable) {
				names = append(names, m.Name)
			}
		}
		return names, true, nil
	}
	return nil, true, err
}

// Notified asks the registry which version the sidecars' watches have. A sidecar that does not
// watch at the moment counts as notified after the notification deadline.
func (f *LiveFleet) Notified(ctx context.Context, seq uint64, since time.Time) (bool, error) {
	if f.Now().Sub(since) >= notificationDeadline {
		return true, nil
	}
	statuses, all := f.Statuses(ctx)
	if err := ctx.Err(); err != nil {
		return false, err
	}
	watches := 0
	for _, s := range statuses {
		if s.WatchSeq < seq {
			return false, nil
		}
		watches += s.Watches
	}
	return all && f.Sidecars > 0 && watches >= f.Sidecars, nil
}

// Idle asks the server for its load report. A server that refuses connections has no work; one
// that does not report has none when no client waits for an answer any more.
func (f *LiveFleet) Idle(ctx context.Context, server registry.Registration, since time.Time) (bool, error) {
	load, err := fetchLoad(ctx, server.Dial)
	switch {
	case errors.Is(err, errNoReport):
		return f.Now().Sub(since) >= notificationDeadline+f.MaxRequestTime, nil
	case errors.Is(err, errStopped):
		return true, nil
	case err != nil:
		return false, err
	}
	return load == 0, nil
}

var (
	errStopped  = errors.New("the server refuses connections")
	errNoReport = errors.New("the server does not report its load")
)

// fetchLoad returns how much work a server has by its own report.
func fetchLoad(ctx context.Context, address string) (float64, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(callCtx, http.MethodGet, "http://"+address+"/stats", nil)
	if err != nil {
		return 0, err
	}
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err == nil {
		defer resp.Body.Close()
	}
	switch {
	case ctx.Err() != nil:
		return 0, ctx.Err()
	case errors.Is(err, syscall.ECONNREFUSED):
		return 0, errStopped
	case err != nil || resp.StatusCode != http.StatusOK:
		return 0, errNoReport
	}
	load, ok := parseLoad(loadReport(resp))
	if !ok {
		return 0, errNoReport
	}
	return load, nil
}

// loadReport returns the load report of a response, which stands in a header field or the body.
func loadReport(resp *http.Response) string {
	if report := resp.Header.Get("Server-Load"); report != "" {
		return report
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes)) // a part that cannot be read is no report
	return string(text)
}

// parseLoad reads how much work a server has out of its load report: the requests in flight and
// queued, or how busy its cores are.
func parseLoad(report string) (load float64, ok bool) {
	values := settings.ParseLoadReport(report, "inflight", "queue", "util")
	maps.DeleteFunc(values, func(_ string, v float64) bool { return !(v >= 0) })
	inflight, hasInflight := values["inflight"]
	utilization, hasUtilization := values["util"]
	if !hasInflight && !hasUtilization {
		return 0, false
	}
	return inflight + utilization + values["queue"], true
}

// Stop runs the stop command for one server. The command has to be harmless where the server is
// stopped already, because a drain that is resumed runs it again.
func (f *LiveFleet) Stop(ctx context.Context, machine, host string) error {
	if len(f.StopCommand) == 0 {
		return nil
	}
	names := strings.NewReplacer("{machine}", machine, "{host}", host)
	args := make([]string, len(f.StopCommand))
	for i, arg := range f.StopCommand {
		args[i] = names.Replace(arg)
	}
	cmd := exec.CommandContext(ctx, args[0], args[1:]...)
	cmd.WaitDelay = stopOutputDelay
	out, err := cmd.CombinedOutput()
	if err != nil && !errors.Is(err, exec.ErrWaitDelay) { // which is that of a command that has ended with 0
		line := strings.Join(strings.Fields(string(out)), " ")
		return fmt.Errorf("%s: %w: %s", args[0], err, line[:min(len(line), maxOutputShown)])
	}
	return nil
}
