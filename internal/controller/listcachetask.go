package controller

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"barleywick/internal/lease"
	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
)

// listCacheTask keeps copies of the registry's contents.
type listCacheTask struct {
	config ListCacheConfig
	client *client.Client
}

func (t *listCacheTask) run(ctx context.Context, term *lease.Handle) error {
	c := &ListCache{Dir: t.config.Dir, Keep: t.config.Keep}
	for {
		text, err := t.client.Backup(ctx)
		if err == nil {
			var path string
			if path, err = c.Save(ctx, term.Token(), time.Now(), text); err == nil {
				slog.Info("copies: saved", "lease", term.LeaseName(), "token", term.Token(), "path", path, "bytes", len(text))
			}
		}
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, registry.ErrFenced):
			return err
		case err != nil:
			slog.Error("copies: not saved", "lease", term.LeaseName(), "token", term.Token(), "err", err)
		}
		if err := pause(ctx, time.Duration(t.config.IntervalMS)*time.Millisecond); err != nil {
			return err
		}
	}
}
