package server

import (
	"context"
	"io"
	"log"
	"log/slog"

	"github.com/hashicorp/go-hclog"
)

// raftLogger writes the Raft library's log lines with slog, one level lower than the
// library's: each heartbeat that fails is a line, and none of them calls for an operator.
type raftLogger struct {
	hclog.Logger // for the methods that are not used
	target       *slog.Logger
}

func newRaftLogger() *raftLogger { return &raftLogger{hclog.NewNullLogger(), slog.Default()} }

func (l *raftLogger) log(level slog.Level, msg string, args []any) {
	l.target.Log(context.Background(), level, "raft: "+msg, args...)
}

// Trace drops the line.
func (l *raftLogger) Trace(string, ...any) {}

// Debug drops the line: it is meant for the library's authors.
func (l *raftLogger) Debug(string, ...any) {}

// Info writes elections and snapshots.
func (l *raftLogger) Info(msg string, args ...any) { l.log(slog.LevelDebug, msg, args) }

// Warn writes faults that end by themselves.
func (l *raftLogger) Warn(msg string, args ...any) { l.log(slog.LevelInfo, msg, args) }

// Error writes faults that may call for an operator.
func (l *raftLogger) Error(msg string, args ...any) { l.log(slog.LevelWarn, msg, args) }

// Log writes a line at the level named.
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

// Named returns this logger: its lines have one prefix.
func (l *raftLogger) Named(string) hclog.Logger { return l }

// ResetNamed returns this logger.
func (l *raftLogger) ResetNamed(string) hclog.Logger { return l }

// With returns a logger with more attributes.
func (l *raftLogger) With(args ...any) hclog.Logger {
	return &raftLogger{l.Logger, l.target.With(args...)}
}

// StandardLogger returns a logger of the standard library that writes here.
func (l *raftLogger) StandardLogger(*hclog.StandardLoggerOptions) *log.Logger {
	return slog.NewLogLogger(l.target.Handler(), slog.LevelDebug)
}

// StandardWriter returns a writer whose lines are written here.
func (l *raftLogger) StandardWriter(*hclog.StandardLoggerOptions) io.Writer {
	return l.StandardLogger(nil).Writer()
}
