package cli

import (
	"fmt"
	"io"
	"path/filepath"

	"github.com/spf13/cobra"
)

// WarnFormerProgram prints a deprecation warning if the program was started by its former name.
func WarnFormerProgram(errs io.Writer, argv0, former, name string) {
	if filepath.Base(argv0) == former {
		fmt.Fprintf(errs, "%s: this name is deprecated, use %s\n", former, name)
	}
}

// LookupEnv returns the value of an environment variable. If it is not set, it returns the value of the
// deprecated variable that it replaces and prints a deprecation warning.
func LookupEnv(getenv func(string) string, errs io.Writer, name, former string) string {
	if value := getenv(name); value != "" {
		return value
	}
	value := getenv(former)
	if value != "" {
		fmt.Fprintf(errs, "%s is deprecated, use %s\n", former, name)
	}
	return value
}

// WithFormerName adds a command's former name as an alias that prints a deprecation warning.
func WithFormerName(c *cobra.Command, former string) *cobra.Command {
	c.Aliases = append(c.Aliases, former)
	run := c.RunE
	c.RunE = func(c *cobra.Command, args []string) error {
		if c.CalledAs() == former {
			fmt.Fprintf(c.ErrOrStderr(), "the command %s is deprecated, use %s\n", former, c.Name())
		}
		return run(c, args)
	}
	return c
}
