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
	// notificationDeadline is after how long anything that discovery has to tell counts as
	// told, by the protocol, whether it arrived or not.
	notificationDeadline = 6 * time.Second
	callTimeout          = time.Second // for one question to a replica or a server
	maxReportBytes       = 4 << 10
	maxOutputShown       = 300 // characters of a failed command's output that are shown
)

// ReplicaStatuses asks every replica of the registry how it stands; one that cannot be
// reached is left out, and all says whether none was.
type ReplicaStatuses func(ctx context.Context) (got []registry.StatusResponse, all bool)

// LiveFleet is the real fleet: the registry's watches, the booking servers' load
// reports, and a command that stops a server's processes.
type LiveFleet struct {
	Statuses ReplicaStatuses
	// Sidecars is how many there are, where that is known: if so many watches hold a
	// version, nobody else has to be waited for.
	Sidecars int
	// MaxRequestTime is the longest time that a client gives a request. A server that
	// reports no load has no work after that.
	MaxRequestTime time.Duration
	// StopCommand stops a server; {machine} and {host} stand for their names. None: the
	// operator stops it.
	StopCommand []string
	Now         func() time.Time
	// MembershipURLs are where members of the fleet are asked for their views, any of them; none:
	// the machine's other processes are not waited for.
	MembershipURLs []string
}

// RemainingMembers asks for a view of the fleet. One that fell silent may be cut off and carry
// traffic still: only a goodbye, an end that was seen, or an operator's word ends a wait.
func (s *LiveFleet) RemainingMembers(ctx context.Context, machine string) (there []string, waits bool, err error) {
	if len(s.MembershipURLs) == 0 {
		return nil, false, nil
	}
	within, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, url := range s.MembershipURLs {
		var v membership.ViewResponse
		if v, err = membership.FetchView(within, http.DefaultClient, url, ""); err != nil {
			continue
		}
		for _, m := range v.Members {
			if m.MachineName == machine && (m.Status.CountsAsPresent() || m.Status == membership.StatusUnreachable) {
				there = append(there, m.Name)
			}
		}
		return there, true, nil
	}
	return nil, true, err
}

// Notified says whether all sidecars hold a version. Those that watch say so by it; one
// that does not watch at the moment counts as told when the protocol says.
func (s *LiveFleet) Notified(ctx context.Context, seq uint64, since time.Time) (bool, error) {
	if s.Now().Sub(since) >= notificationDeadline {
		return true, nil
	}
	got, all := s.Statuses(ctx)
	if err := ctx.Err(); err != nil {
		return false, err
	}
	watches := 0
	for _, r := range got {
		if r.WatchSeq < seq {
			return false, nil
		}
		watches += r.Watches
	}
	return all && s.Sidecars > 0 && watches >= s.Sidecars, nil
}

// Idle asks a server for its load. One that cannot be reached any more has none; one
// that does not report has none when nobody can wait for an answer any longer.
func (s *LiveFleet) Idle(ctx context.Context, server registry.Registration, since time.Time) (bool, error) {
	within, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(within, http.MethodGet, "http://"+server.Dial+"/stats", nil)
	if err != nil {
		return false, err
	}
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	switch {
	case ctx.Err() != nil:
		return false, ctx.Err()
	case errors.Is(err, syscall.ECONNREFUSED):
		return true, nil
	case err == nil:
		defer resp.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
		report := resp.Header.Get("Server-Load")
		if report == "" {
			report = string(text)
		}
		if work, ok := parseLoad(report); ok && resp.StatusCode == http.StatusOK {
			return work == 0, nil
		}
	}
	return s.Now().Sub(since) >= notificationDeadline+s.MaxRequestTime, nil
}

// parseLoad reads how much a server holds out of its report: what is in flight and what
// waits, or else how busy its cores are.
func parseLoad(report string) (work float64, ok bool) {
	values := settings.ParseLoadReport(report, "inflight", "queue", "util")
	maps.DeleteFunc(values, func(_ string, v float64) bool { return !(v >= 0) })
	inflight, a := values["inflight"]
	util, b := values["util"]
	if !a && !b {
		return 0, false
	}
	return inflight + util + values["queue"], true
}

// Stop runs the command for one server. It must do no harm where the server is
// stopped already: a drain that is resumed runs it again.
func (s *LiveFleet) Stop(ctx context.Context, machine, host string) error {
	if len(s.StopCommand) == 0 {
		return nil
	}
	names := strings.NewReplacer("{machine}", machine, "{host}", host)
	args := make([]string, len(s.StopCommand))
	for i, a := range s.StopCommand {
		args[i] = names.Replace(a)
	}
	out, err := exec.CommandContext(ctx, args[0], args[1:]...).CombinedOutput()
	if err != nil {
		line := strings.Join(strings.Fields(string(out)), " ")
		return fmt.Errorf("%s: %w: %s", args[0], err, line[:min(len(line), maxOutputShown)])
	}
	return nil
}
