// Package cli contains what the programs' command lines have in common: exit statuses, one-line errors
// and the version command.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// Exit statuses common to all programs. A program may define more.
const (
	StatusOK = iota
	StatusFailed
	StatusUsageError // the command line was invalid
)

// StatusHelp describes the exit statuses in a program's help.
const StatusHelp = `Exit status:
 0  done
 1  failed; the error is printed on one line
 2  usage error`

// exitError is an error with the program's exit status.
type exitError struct {
	status int
	err    error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// ExitError returns an error that makes the program exit with the given status.
func ExitError(status int, format string, args ...any) error {
	return &exitError{status, fmt.Errorf(format, args...)}
}

// UsageError returns a usage error: the command line is invalid and the command was not run.
func UsageError(format string, args ...any) error {
	return ExitError(StatusUsageError, format, args...)
}

// Run executes a command line and returns the exit status. An error is printed on one line.
func Run(ctx context.Context, name string, root *cobra.Command, args []string, out, errs io.Writer) int {
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	root.SilenceErrors, root.SilenceUsage = true, true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return UsageError("%w", err) })
	for _, c := range append(root.Commands(), root) {
		checkArgs(c)
	}
	return Report(name, root.ExecuteContext(ctx), errs)
}

// Report prints an error on one line and returns its exit status.
func Report(name string, err error, errs io.Writer) int {
	if err == nil {
		return StatusOK
	}
	fmt.Fprintf(errs, "%s: %v\n", name, err)
	var e *exitError
	if errors.As(err, &e) {
		return e.status
	}
	return StatusFailed
}

// checkArgs turns a command's argument errors into usage errors.
func checkArgs(c *cobra.Command) {
	if check := c.Args; check != nil {
		c.Args = func(c *cobra.Command, args []string) error {
			if err := check(c, args); err != nil {
				return UsageError("%w; see %s --help", err, c.CommandPath())
			}
			return nil
		}
	}
}

// NoArgs rejects all arguments.
func NoArgs(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("unknown command %q", args[0])
	}
	return nil
}

// VersionCommand returns the command that prints the module version, source revision and Go version.
func VersionCommand(name string) *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version, source revision and Go version", Args: NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			info, ok := debug.ReadBuildInfo()
			if !ok {
				return errors.New("the binary contains no build information")
			}
			revision, modified := "unknown", ""
			for _, s := range info.Settings {
				switch {
				case s.Key == "vcs.revision":
					revision = s.Value
				case s.Key == "vcs.modified" && s.Value == "true":
					modified = ", with changes"
				}
			}
			_, err := fmt.Fprintf(c.OutOrStdout(), "%s %s, source %s%s, %s\n", name, info.Main.Version, revision, modified, info.GoVersion)
			return err
		},
	}
}
