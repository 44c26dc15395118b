package server

import (
	"context"
	"io"
	"log"
	"log/slog"

	"github.com/hashicorp/go-hclog"
)

// raftLogger writes Raft's log lines with slog, one level lower than Raft holds them
// to be: its every heartbeat that fails is no news to an operator.
type raftLogger struct {
	hclog.Logger
	target *slog.Logger
}

func newRaftLogger() *raftLogger {
	return &raftLogger{hclog.NewNullLogger(), slog.With("part", "raft")}
}

func (l *raftLogger) log(level slog.Level, msg string, args []any) {
	l.target.Log(context.Background(), level, msg, args...)
}

// Trace and the others pass a line on.
func (l *raftLogger) Trace(msg string, args ...any) {}

// Debug is for Raft's own makers.
func (l *raftLogger) Debug(msg string, args ...any) {}

// Info tells of elections and snapshots.
func (l *raftLogger) Info(msg string, args ...any) { l.log(slog.LevelDebug, msg, args) }

// Warn tells of what mends itself.
func (l *raftLogger) Warn(msg string, args ...any) { l.log(slog.LevelInfo, msg, args) }

// Error tells of what somebody may have to look at.
func (l *raftLogger) Error(msg string, args ...any) { l.log(slog.LevelWarn, msg, args) }

// Log passes a line on at the level named.
func (l *raftLogger) Log(level hclog.Level, msg string, args ...any) {
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
func (l *raftLogger) Named(string) hclog.Logger { return l }

// With adds fields.
func (l *raftLogger) With(args ...any) hclog.Logger {
	return &raftLogger{l.Logger, l.target.With(args...)}
}

// ResetNamed keeps this logger.
func (l *raftLogger) ResetNamed(string) hclog.Logger { return l }

// StandardLogger is for parts that write with log.
func (l *raftLogger) StandardLogger(*hclog.StandardLoggerOptions) *log.Logger {
	return slog.NewLogLogger(l.target.Handler(), slog.LevelDebug)
}

// StandardWriter is for parts that write lines.
func (l *raftLogger) StandardWriter(*hclog.StandardLoggerOptions) io.Writer {
	return l.StandardLogger(nil).Writer()
}
