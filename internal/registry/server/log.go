package server

import (
	"context"
	"io"
	"log"
	"log/slog"

	"github.com/hashicorp/go-hclog"
)

// raftLog writes Raft's log lines with slog, one level lower than Raft holds them
// to be: its every heartbeat that fails is no news to an operator.
type raftLog struct {
	hclog.Logger
	to *slog.Logger
}

func newRaftLog() *raftLog { return &raftLog{hclog.NewNullLogger(), slog.With("part", "raft")} }

func (l *raftLog) log(level slog.Level, msg string, args []any) {
	l.to.Log(context.Background(), level, msg, args...)
}

// Trace and the others pass a line on.
func (l *raftLog) Trace(msg string, args ...any) {}

// Debug is for Raft's own makers.
func (l *raftLog) Debug(msg string, args ...any) {}

// Info tells of elections and snapshots.
func (l *raftLog) Info(msg string, args ...any) { l.log(slog.LevelDebug, msg, args) }

// Warn tells of what mends itself.
func (l *raftLog) Warn(msg string, args ...any) { l.log(slog.LevelInfo, msg, args) }

// Error tells of what somebody may have to look at.
func (l *raftLog) Error(msg string, args ...any) { l.log(slog.LevelWarn, msg, args) }

// Log passes a line on at the level named.
func (l *raftLog) Log(level hclog.Level, msg string, args ...any) {
	switch {
	case level >= hclog.Error:
		l.Error(msg, args...)
	case level == hclog.Warn:
		l.Warn(msg, args...)
	case level == hclog.Info:
		l.Info(msg, args...)
	}
}

// Named and the others keep this logger in place.
func (l *raftLog) Named(string) hclog.Logger { return l }

// With adds fields.
func (l *raftLog) With(args ...any) hclog.Logger { return &raftLog{l.Logger, l.to.With(args...)} }

// ResetNamed keeps this logger.
func (l *raftLog) ResetNamed(string) hclog.Logger { return l }

// StandardLogger is for parts that write with log.
func (l *raftLog) StandardLogger(*hclog.StandardLoggerOptions) *log.Logger {
	return slog.NewLogLogger(l.to.Handler(), slog.LevelDebug)
}

// StandardWriter is for parts that write lines.
func (l *raftLog) StandardWriter(*hclog.StandardLoggerOptions) io.Writer {
	return l.StandardLogger(nil).Writer()
}
