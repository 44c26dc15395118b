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

// backupTask saves a backup of the registry at each interval.
type backupTask struct {
	config BackupConfig
	client *client.Client
}

func (t *backupTask) run(ctx context.Context, handle *lease.Handle) error {
	folder := &BackupFolder{Dir: t.config.Dir, Keep: t.config.Keep}
	interval := time.Duration(t.config.IntervalMS) * time.Millisecond
	for {
		err := t.save(ctx, folder, handle)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, registry.ErrFenced):
			return err
		case err != nil:
			slog.Error("controller: backup not saved", "lease", handle.LeaseName(), "token", handle.Token(), "err", err)
		}
		if err := pause(ctx, interval); err != nil {
			return err
		}
	}
}

func (t *backupTask) save(ctx context.Context, folder *BackupFolder, handle *lease.Handle) error {
	text, err := t.client.Backup(ctx)
	if err != nil {
		return err
	}
	path, err := folder.Save(ctx, handle.Token(), time.Now(), text)
	if err != nil {
		return err
	}
	slog.Info("controller: backup saved", "lease", handle.LeaseName(), "token", handle.Token(), "path", path, "bytes", len(text))
	return nil
}
