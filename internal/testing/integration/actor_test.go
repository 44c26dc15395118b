package integration

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"barleywick/internal/controller"
	"barleywick/internal/lease"
	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
)

// runActor runs a controller whose tasks act: by calls to the witness, which does not check tokens,
// and by fenced writes to the registry.
func runActor() error {
	stop, _ := signals()
	c, err := controller.LoadConfig(os.Getenv(configVariable))
	if err != nil {
		return err
	}
	r, err := client.New(c.Registry, uint64(os.Getpid()))
	if err != nil {
		return err
	}
	n, err := strconv.Atoi(os.Getenv(tasksVariable))
	if err != nil {
		return err
	}
	c.MaxActMS = actTimeout.Milliseconds()
	pause, _ := time.ParseDuration(os.Getenv(everyVariable))
	a := &actor{name: c.Name, pause: pause, registry: r.WithAddressMap(c.Routes), witnessAddr: os.Getenv(witnessVariable), http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	ctl, err := controller.New(c, func(*controller.Controller) (all []controller.Task) {
		for i := range n {
			all = append(all, controller.Task{LeaseName: fmt.Sprint("task-", i), Run: a.run})
		}
		return all
	})
	if err != nil {
		return err
	}
	return ctl.Run(stop)
}

type actor struct {
	name, witnessAddr string
	pause             time.Duration
	registry          *client.Client
	http              *http.Client
	calls             atomic.Uint64
}

// report sends a report to the witness and waits for its response.
func (a *actor) report(ctx context.Context, path string, values url.Values) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.witnessAddr+"/"+path+"?"+values.Encode(), nil)
	if err != nil {
		return err
	}
	resp, err := a.http.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

const actTimeout = 100 * time.Millisecond // for one timed act; the witness uses a part of it

func (a *actor) run(ctx context.Context, handle *lease.Handle) error {
	// The writes continue after the end of the task, each with its own timeout: the fence has to
	// reject those that arrive too late.
	if a.pause == 0 {
		go a.write(ctx, handle.LeaseName(), handle.Fence())
	}
	for n := 0; ; n++ {
		err := handle.RunAct(ctx, actTimeout, func(ctx context.Context) error {
			return a.report(ctx, "act", url.Values{"task": {handle.LeaseName()}, "by": {fmt.Sprintf("%s/%d", a.name, os.Getpid())}, "token": {fmt.Sprint(handle.Token())}})
		})
		if errors.Is(err, lease.ErrLapsed) || ctx.Err() != nil {
			return cmp.Or(ctx.Err(), err)
		}
		select {
		case <-time.After(a.pause):
		case <-ctx.Done():
		}
		if n%3 == 0 && a.pause == 0 {
			a.read(ctx, handle.LeaseName())
		}
	}
}

// reportedCall makes a call and reports it to the witness: the call before it is made, then its result.
func (a *actor) reportedCall(task, kind, value string, call func(ctx context.Context) (version uint64, got string, err error)) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	// The id has a counter instead of a time: tasks that were granted together run in step, and two
	// reads may begin in the same nanosecond.
	id := fmt.Sprintf("%s/%d/%d", a.name, os.Getpid(), a.calls.Add(1))
	v := url.Values{"id": {id}, "task": {task}, "kind": {kind}, "value": {value}}
	if a.report(ctx, "call", v) != nil {
		return
	}
	version, got, err := call(ctx)
	v.Set("version", fmt.Sprint(version))
	v.Set("got", got)
	switch {
	case errors.Is(err, registry.ErrFenced):
		v.Set("error", "fenced")
	case err != nil:
		v.Set("error", "unknown")
	}
	a.report(ctx, "return", v)
}

// write writes one value after the other. Each write names the version that it replaces, since a
// call may be carried out late or twice.
func (a *actor) write(ctx context.Context, task string, fence *registry.Fence) {
	known, version := false, uint64(0)
	for n := 0; ctx.Err() == nil; n++ {
		if !known {
			version, known = a.read(ctx, task)
			continue
		}
		a.reportedCall(task, "write", fmt.Sprintf("%s %d %d", a.name, fence.Token, n), func(ctx context.Context) (uint64, string, error) {
			v, err := a.registry.PutFenced(ctx, task, fmt.Appendf(nil, "%s %d %d", a.name, fence.Token, n), &version, fence)
			if version = v; err != nil {
				known = false
			}
			return v, "", err
		})
		// A write without a version: only the fence prevents that it takes effect too late.
		value := fmt.Sprintf("%s %d %d", a.name, fence.Token, n)
		a.reportedCall(task, "blind", value, func(ctx context.Context) (uint64, string, error) {
			v, err := a.registry.PutFenced(ctx, "blind-"+task, []byte(value), nil, fence)
			return v, "", err
		})
		time.Sleep(max(5*time.Millisecond, a.pause))
	}
}

// read reads the record of a task and reports whether that succeeded.
func (a *actor) read(ctx context.Context, task string) (version uint64, ok bool) {
	a.reportedCall(task, "read", "", func(within context.Context) (uint64, string, error) {
		within, cancel := context.WithTimeout(within, time.Second)
		defer cancel()
		r, err := a.registry.Record(within, task)
		if errors.Is(err, registry.ErrNotFound) {
			r, err = registry.Record{}, nil
		}
		version, ok = r.Version, err == nil
		return r.Version, string(r.Value), err
	})
	return version, ok
}
