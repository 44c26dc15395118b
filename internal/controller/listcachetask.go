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

// listCacheTask saves copies of the registry's contents.
type listCacheTask struct {
	config ListCacheConfig
	client *client.Client
}

func (t *listCacheTask) run(ctx context.Context, handle *lease.Handle) error {
	cache := &ListCache{Dir: t.config.Dir, Keep: t.config.Keep}
	interval := time.Duration(t.config.IntervalMS) * time.Millisecond
	for {
		err := t.save(ctx, cache, handle)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, registry.ErrFenced):
			return err
		case err != nil:
			slog.Error("controller: list cache not saved", "lease", handle.LeaseName(), "token", handle.Token(), "err", err)
		}
		if err := pause(ctx, interval); err != nil {
			return err
		}
	}
}

func (t *listCacheTask) save(ctx context.Context, cache *ListCache, handle *lease.Handle) error {
	text, err := t.client.Backup(ctx)
	if err != nil {
		return err
	}
	path, err := cache.Save(ctx, handle.Token(), time.Now(), text)
	if err != nil {
		return err
	}
	slog.Info("controller: list cache saved", "lease", handle.LeaseName(), "token", handle.Token(), "path", path, "bytes", len(text))
	return nil
}
