package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"barleywick/internal/cli"
	"barleywick/internal/membership"
	"barleywick/internal/registry"
)

// membersInterval is the refresh interval of --watch.
const membersInterval = time.Second

// maxConcurrentViews limits how many members are queried at once.
const maxConcurrentViews = 16

func (a *app) members() *cobra.Command {
	var asJSON, watch, diff bool
	var at, forget string
	c := &cobra.Command{
		Use: "members", Short: "List the members of the fleet", Args: cli.NoArgs,
		Long: `members asks a replica of the registry, or the member that --at names, which members of
the fleet it sees, and since when (docs/MEMBERSHIP.md). --diff compares the views of all
members that serve one. --forget makes every member forget an unreachable member that
will not return.

` + cli.StatusHelp + `
 3  with --diff: views differ`,
		Example: "  fleetctl members\n  fleetctl members --diff\n  fleetctl members --at 127.0.0.1:9400 --watch\n  fleetctl members --forget k2",
		RunE: func(c *cobra.Command, _ []string) error {
			if forget != "" {
				if err := registry.CheckName("--forget", forget); err != nil {
					return cli.UsageError("%v", err)
				}
				return a.forgetMember(c.Context(), at, forget)
			}
			for {
				err := a.showMembers(c.Context(), at, diff, asJSON)
				if !watch || c.Context().Err() != nil {
					return err
				}
				if err != nil {
					fmt.Fprintln(a.out, err)
				}
				select {
				case <-time.After(membersInterval):
				case <-c.Context().Done():
					return nil
				}
			}
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object per line")
	c.Flags().BoolVar(&watch, "watch", false, "refresh once a second until interrupted")
	c.Flags().BoolVar(&diff, "diff", false, "compare the views of all members that serve one")
	c.Flags().StringVar(&at, "at", "", "query the member that serves its view at this `ADDRESS`")
	c.Flags().StringVar(&forget, "forget", "", "forget the unreachable member `NAME`, which will not return")
	return c
}

// fleetURL returns the URL at which a member serves its view; the path depends on its role.
func fleetURL(role membership.Role, at string) string {
	switch role {
	case membership.RoleRegistry:
		return "http://" + at + registry.APIPath + membership.ViewPath
	case membership.RoleSidecar:
		return "http://" + at + "/health/" + membership.ViewPath
	}
	return "http://" + at + "/" + membership.ViewPath
}

// view fetches the view of the member at an address, or of the first replica that answers.
func (a *app) view(ctx context.Context, at string) (v membership.ViewResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if at != "" {
		for _, role := range []membership.Role{membership.RoleController, membership.RoleRegistry, membership.RoleSidecar} {
			if v, err = membership.FetchView(ctx, http.DefaultClient, fleetURL(role, at)); err == nil {
				return v, nil
			}
		}
		return v, fmt.Errorf("no member serves its view at %s: %w", at, err)
	}
	c, err := a.config()
	if err != nil {
		return v, err
	}
	for _, replica := range c.Registry {
		if v, err = membership.FetchView(ctx, http.DefaultClient, fleetURL(membership.RoleRegistry, replica)); err == nil {
			return v, nil
		}
	}
	return v, fmt.Errorf("no replica of the registry serves its view: %w", err)
}

// views fetches the views of all members in from that serve one, and returns the names of those that failed.
func views(ctx context.Context, from membership.ViewResponse) (all []membership.ViewResponse, failed []string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	type result struct {
		view membership.ViewResponse
		err  error
		name string
	}
	requested := 0
	results := make(chan result, len(from.Members))
	slots := make(chan struct{}, maxConcurrentViews)
	for _, m := range from.Members {
		if m.HTTPAddr == "" || m.Status == membership.StatusLeft || m.Status == membership.StatusEnded || m.Status == membership.StatusReplaced {
			continue
		}
		requested++
		go func() { // ends with the context at the latest; the channel has room for its result
			slots <- struct{}{}
			defer func() { <-slots }()
			v, err := membership.FetchView(ctx, http.DefaultClient, fleetURL(m.Role, m.HTTPAddr))
			results <- result{v, err, m.Name}
		}()
	}
	for range requested {
		if s := <-results; s.err != nil {
			failed = append(failed, s.name)
		} else {
			all = append(all, s.view)
		}
	}
	return all, failed
}

// showMembers prints one member's view of the fleet.
func (a *app) showMembers(ctx context.Context, at string, diff, asJSON bool) error {
	v, err := a.view(ctx, at)
	if err != nil {
		return err
	}
	if diff {
		return a.showDiff(ctx, v, asJSON)
	}
	if asJSON {
		return json.NewEncoder(a.out).Encode(v)
	}
	fmt.Fprintf(a.out, "%s, as %s sees it: %d present, %d unreachable; %d of %d others see the same\n", v.Fleet, v.Name, v.Present, v.Unreachable, v.AgreeingPeers, v.ComparedPeers)
	if v.PartitionedMS > 0 {
		partition := "some members are unreachable"
		if v.Minority {
			partition = "more than half of the fleet is unreachable: this member acts as part of a minority"
		}
		fmt.Fprintf(a.out, "%s, the first since %v\n", partition, (time.Duration(v.PartitionedMS) * time.Millisecond).Round(100*time.Millisecond))
	}
	if len(v.DifferingPeers) > 0 {
		fmt.Fprintf(a.out, "members with another view: %s\n", strings.Join(v.DifferingPeers, ", "))
	}
	w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tROLE\tSTATUS\tFOR\tZONE\tPHASE\tPOLICY\tAT\tBY")
	for _, m := range v.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%s\t%s\t%d\t%s\t%s\n", m.Name, m.Role, m.Status, (time.Duration(m.StatusAgeMS) * time.Millisecond).Round(100*time.Millisecond), m.Zone, m.Phase, m.PolicyEpoch, m.GossipAddr, m.Evidence)
	}
	return w.Flush()
}

// showDiff prints the members about which views differ.
func (a *app) showDiff(ctx context.Context, from membership.ViewResponse, asJSON bool) error {
	all, failed := views(ctx, from)
	if len(all) < 2 {
		return errors.New("fewer than two members returned their view: the others did not answer, or have no HTTP address configured")
	}
	different := membership.Diff(all)
	if asJSON {
		err := json.NewEncoder(a.out).Encode(map[string]any{"asked": len(all), "silent": failed, "differ": different})
		if err == nil && len(different) > 0 {
			err = cli.ExitError(statusRefused, "views differ on %d members", len(different))
		}
		return err
	}
	fmt.Fprintf(a.out, "%d members were asked\n", len(all))
	if len(failed) > 0 {
		fmt.Fprintf(a.out, "did not answer: %s\n", strings.Join(failed, ", "))
	}
	if len(different) == 0 {
		fmt.Fprintln(a.out, "all see the same fleet")
		return nil
	}
	for _, d := range different {
		by := make(map[membership.Status][]string)
		for _, v := range all {
			by[d.StatusByView[v.Name]] = append(by[d.StatusByView[v.Name]], v.Name)
		}
		fmt.Fprintf(a.out, "%s (%d):\n", d.Name, d.Incarnation)
		for _, s := range []membership.Status{membership.StatusPresent, membership.StatusSuspected, membership.StatusUnreachable, membership.StatusLeft, membership.StatusEnded, membership.StatusReplaced, membership.StatusUnknown} {
			if len(by[s]) > 0 {
				fmt.Fprintf(a.out, "  %s: %s\n", s, strings.Join(by[s], ", "))
			}
		}
	}
	return cli.ExitError(statusRefused, "views differ on %d members", len(different))
}

// forgetMember asks every live member that serves its view to forget the named member.
func (a *app) forgetMember(ctx context.Context, at, name string) error {
	v, err := a.view(ctx, at)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	notified := 0
	for _, m := range v.Members {
		if m.HTTPAddr == "" || m.Status != membership.StatusPresent && m.Status != membership.StatusSuspected {
			continue
		}
		if err := membership.ForgetMember(ctx, http.DefaultClient, fleetURL(m.Role, m.HTTPAddr), name); err == nil {
			notified++
		}
	}
	if notified == 0 {
		return fmt.Errorf("no member lists an unreachable member named %s", name)
	}
	fmt.Fprintf(a.out, "%d members have forgotten %s\n", notified, name)
	return nil
}
