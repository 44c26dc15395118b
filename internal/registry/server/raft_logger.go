package server

import (
	"context"
	"io"
	"log"
	"log/slog"

	"github.com/hashicorp/go-hclog"
)

// raftLogger forwards the Raft library's log lines to slog, one level lower: the library logs
// each failed heartbeat, for example, which needs no action by an operator.
type raftLogger struct {
	hclog.Logger // implements the methods that the library does not use
	target       *slog.Logger
}

func newRaftLogger() *raftLogger { return &raftLogger{hclog.NewNullLogger(), slog.Default()} }

func (l *raftLogger) log(level slog.Level, msg string, args []any) {
	l.target.Log(context.Background(), level, "raft: "+msg, args...)
}

// Trace discards the line.
func (l *raftLogger) Trace(string, ...any) {}

// Debug discards the line: it is meant for developers of the library.
func (l *raftLogger) Debug(string, ...any) {}

// Info logs the library's info lines, such as elections and snapshots, at debug level.
func (l *raftLogger) Info(msg string, args ...any) { l.log(slog.LevelDebug, msg, args) }

// Warn logs the library's warnings, faults that recover by themselves, at info level.
func (l *raftLogger) Warn(msg string, args ...any) { l.log(slog.LevelInfo, msg, args) }

// Error logs the library's errors, faults that may need an operator, at warn level.
func (l *raftLogger) Error(msg string, args ...any) { l.log(slog.LevelWarn, msg, args) }

// Log logs a line with the method for its level, and discards levels below info.
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

// Named returns this logger unchanged: all lines have the same prefix.
func (l *raftLogger) Named(string) hclog.Logger { return l }

// ResetNamed returns this logger unchanged.
func (l *raftLogger) ResetNamed(string) hclog.Logger { return l }

// With returns a logger that adds attributes to each line.
func (l *raftLogger) With(args ...any) hclog.Logger {
	return &raftLogger{l.Logger, l.target.With(args...)}
}

// StandardLogger returns a standard library logger that logs at debug level.
func (l *raftLogger) StandardLogger(*hclog.StandardLoggerOptions) *log.Logger {
	return slog.NewLogLogger(l.target.Handler(), slog.LevelDebug)
}

// StandardWriter returns the writer of StandardLogger.
func (l *raftLogger) StandardWriter(*hclog.StandardLoggerOptions) io.Writer {
	return l.StandardLogger(nil).Writer()
}
