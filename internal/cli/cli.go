// Package cli holds what the programs' command lines share: exit statuses, one-line
// errors, the version.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// Exit statuses of all programs. A program may have further ones.
const (
	StatusDone = iota
	StatusFailed
	StatusWrongCall // the command line was wrong
)

// StatusHelp is the part of a program's help that lists them.
const StatusHelp = `Exit status:
 0  done
 1  failed, with one line that says why
 2  wrong call`

// exitError is an error with the exit status that follows from it.
type exitError struct {
	status int
	err    error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// ExitError makes an error that ends the program with a status.
func ExitError(status int, format string, args ...any) error {
	return &exitError{status, fmt.Errorf(format, args...)}
}

// WrongCall makes an error about the command line, as opposed to one of the command's work.
func WrongCall(format string, args ...any) error { return ExitError(StatusWrongCall, format, args...) }

// Run executes one command line and returns its exit status. Errors are printed in one line.
func Run(ctx context.Context, name string, root *cobra.Command, args []string, out, errs io.Writer) int {
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	root.SilenceErrors, root.SilenceUsage = true, true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return WrongCall("%w", err) })
	for _, c := range append(root.Commands(), root) {
		checkArgs(c)
	}
	return Report(name, root.ExecuteContext(ctx), errs)
}

// Report prints an error in one line and returns the exit status that follows from it.
func Report(name string, err error, errs io.Writer) int {
	if err == nil {
		return StatusDone
	}
	fmt.Fprintf(errs, "%s: %v\n", name, err)
	var e *exitError
	if errors.As(err, &e) {
		return e.status
	}
	return StatusFailed
}

// checkArgs turns errors about arguments into wrong calls.
func checkArgs(c *cobra.Command) {
	if check := c.Args; check != nil {
		c.Args = func(c *cobra.Command, args []string) error {
			if err := check(c, args); err != nil {
				return WrongCall("%w; see %s --help", err, c.CommandPath())
			}
			return nil
		}
	}
}

// NoArgs rejects all arguments.
func NoArgs(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("no command %q", args[0])
	}
	return nil
}

// VersionCommand prints what was built, from which source, with which Go.
func VersionCommand(name string) *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print what was built, from which source, with which Go", Args: NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			info, ok := debug.ReadBuildInfo()
			if !ok {
				return errors.New("the binary holds no build information")
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
