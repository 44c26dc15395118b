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
	// notificationDeadline is the time after which, by the protocol, a sidecar counts as notified
	// of a change of the endpoint list even if it has not received it.
	notificationDeadline = 6 * time.Second
	// callTimeout limits one call to a member of the fleet or to a server.
	callTimeout    = time.Second
	maxReportBytes = 4 << 10
	maxOutputBytes = 300 // of a failed command's output, in its error
	// stopOutputDelay is how long a stop command's output is read after the command has exited. A
	// process that it has started may keep the output open indefinitely.
	stopOutputDelay = time.Second
)

// ReplicaStatuses asks every replica of the registry for its status. Replicas that do not answer
// are missing in got; all reports whether every replica has answered.
type ReplicaStatuses func(ctx context.Context) (got []registry.StatusResponse, all bool)

// LiveFleet is the Fleet of real processes: it uses the registry's watches, the booking
// servers' load reports, and a command that stops a server.
type LiveFleet struct {
	Statuses ReplicaStatuses
	// Sidecars is the number of sidecars in the fleet; 0: unknown. If at least as many watches have
	// a version of the endpoint list, all sidecars are notified.
	Sidecars int
	// MaxRequestTime is the longest request timeout of any client. A server without load reports
	// counts as idle when this time has passed after the notification deadline.
	MaxRequestTime time.Duration
	// StopCommand stops a server; {machine} and {host} are replaced by their names. If it is empty,
	// the operator has to stop the server.
	StopCommand []string
	Now         func() time.Time
	// MembershipURLs are the URLs that serve a view of the fleet's members. If there are none, the
	// drain does not wait for the machine's other processes.
	MembershipURLs []string
}

// RemainingMembers reads the members from the first URL that answers. An unreachable member
// counts, since it may be partitioned and still carry traffic: the wait for it ends when it sends
// a leave message, when its process is observed to have ended, or when an operator reports its end.
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

// Notified asks the registry which version the sidecars' watches have. A sidecar without a watch
// counts as notified after the notification deadline.
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

// Idle asks the server for its load report. A server that refuses connections is idle; one
// without a load report counts as idle when the requests of all clients have timed out.
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

// fetchLoad returns the load that a server reports.
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

// loadReport returns the load report of a response, from the header field or else the body.
func loadReport(resp *http.Response) string {
	if report := resp.Header.Get("Server-Load"); report != "" {
		return report
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes)) // a truncated body is parsed as far as it was read
	return string(text)
}

// parseLoad returns the load in a load report: the sum of the requests in flight, the requests
// queued and the utilization of the cores, as far as the report has them.
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

// Stop runs the stop command for one server. The command must have no effect on a server that
// is already stopped, because a drain that is resumed runs it again.
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
	if err != nil && !errors.Is(err, exec.ErrWaitDelay) { // ErrWaitDelay means that the command itself exited with status 0
		line := strings.Join(strings.Fields(string(out)), " ")
		return fmt.Errorf("%s: %w: %s", args[0], err, line[:min(len(line), maxOutputBytes)])
	}
	return nil
}
