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

// runActor is a controller whose tasks are to act: towards the witness, which knows no
// tokens, and by fenced writes to the registry.
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
	c.MaxActMS = actIn.Milliseconds()
	every, _ := time.ParseDuration(os.Getenv(everyVariable))
	a := &actor{name: c.Name, every: every, registry: r.WithAddressMap(c.Routes), witness: os.Getenv(witnessVariable), http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	k, err := controller.New(c, func(*controller.Controller) (all []controller.Task) {
		for i := range n {
			all = append(all, controller.Task{LeaseName: fmt.Sprint("task-", i), Run: a.run})
		}
		return all
	})
	if err != nil {
		return err
	}
	return k.Run(stop)
}

type actor struct {
	name, witness string
	every         time.Duration
	registry      *client.Client
	http          *http.Client
	calls         atomic.Uint64
}

// tell says something to the witness, and waits for its word.
func (a *actor) tell(ctx context.Context, what string, values url.Values) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.witness+"/"+what+"?"+values.Encode(), nil)
	if err != nil {
		return err
	}
	resp, err := a.http.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

const actIn = 100 * time.Millisecond // for one timed act; the witness takes a part of it

func (a *actor) run(ctx context.Context, term *lease.Handle) error {
	// Its writes go on beyond the task's end, each with its own time: one that comes late
	// is what the fence is for.
	if a.every == 0 {
		go a.write(ctx, term.LeaseName(), term.Fence())
	}
	for n := 0; ; n++ {
		err := term.Do(ctx, actIn, func(ctx context.Context) error {
			return a.tell(ctx, "act", url.Values{"task": {term.LeaseName()}, "by": {fmt.Sprintf("%s/%d", a.name, os.Getpid())}, "token": {fmt.Sprint(term.Token())}})
		})
		if errors.Is(err, lease.ErrLapsed) || ctx.Err() != nil {
			return cmp.Or(ctx.Err(), err)
		}
		select {
		case <-time.After(a.every):
		case <-ctx.Done():
		}
		if n%3 == 0 && a.every == 0 {
			a.read(ctx, term.LeaseName())
		}
	}
}

// op reports a call to the witness before it is made, and what became of it.
func (a *actor) op(task, kind, value string, call func(ctx context.Context) (version uint64, got string, err error)) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	// Counted, not timed: tasks that were granted together act in step, and two reads may begin
	// in one nanosecond.
	id := fmt.Sprintf("%s/%d/%d", a.name, os.Getpid(), a.calls.Add(1))
	v := url.Values{"id": {id}, "task": {task}, "kind": {kind}, "value": {value}}
	if a.tell(ctx, "call", v) != nil {
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
	a.tell(ctx, "return", v)
}

// write writes one value after the other, each in the place of the one that it has
// seen: as every call may be carried out twice, and late, it names the version.
func (a *actor) write(ctx context.Context, task string, f *registry.Fence) {
	known, version := false, uint64(0)
	for n := 0; ctx.Err() == nil; n++ {
		if !known {
			version, known = a.read(ctx, task)
			continue
		}
		a.op(task, "write", fmt.Sprintf("%s %d %d", a.name, f.Token, n), func(ctx context.Context) (uint64, string, error) {
			v, err := a.registry.PutFenced(ctx, task, fmt.Appendf(nil, "%s %d %d", a.name, f.Token, n), &version, f)
			if version = v; err != nil {
				known = false
			}
			return v, "", err
		})
		// And one that names no version, which only the fence keeps from coming too late.
		blind := fmt.Sprintf("%s %d %d", a.name, f.Token, n)
		a.op(task, "blind", blind, func(ctx context.Context) (uint64, string, error) {
			v, err := a.registry.PutFenced(ctx, "blind-"+task, []byte(blind), nil, f)
			return v, "", err
		})
		time.Sleep(max(5*time.Millisecond, a.every))
	}
}

// read reads what is written, and says whether it could.
func (a *actor) read(ctx context.Context, task string) (version uint64, ok bool) {
	a.op(task, "read", "", func(within context.Context) (uint64, string, error) {
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
