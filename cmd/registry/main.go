// Registry runs one replica of the registry of booking servers. docs/REGISTRY.md describes it.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"barleywick/internal/cli"
	"barleywick/internal/registry/server"
)

const usage = `registry serves the list of booking servers as one replica of a group.

    registry -config FILE

On SIGTERM or SIGINT it hands over leadership and exits; on SIGHUP it reloads the file
(only limits and sessions may change). docs/REGISTRY.md describes the file.

` + cli.StatusHelp + `

`

// Locks the main goroutine, which only waits, to the main thread. The kernel delivers a signal to the
// process to that thread: if a hanging disk call blocked it, SIGTERM would not be handled.
func init() { runtime.LockOSThread() }

func main() {
	os.Exit(cli.Report("registry", run(os.Args[1:], os.Stderr), os.Stderr))
}

// options holds the parsed command line.
type options struct {
	configPath string
	logLevel   slog.Level
}

// run runs one replica until SIGTERM or SIGINT.
func run(args []string, out io.Writer) error {
	o, err := parseArguments(args, out)
	if errors.Is(err, flag.ErrHelp) {
		return nil
	}
	if err != nil {
		return err
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: o.logLevel})))
	stop, done := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer done()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	return server.Run(stop, reload, o.configPath)
}

// parseArguments reads the command line; for -help it prints the usage and returns flag.ErrHelp.
func parseArguments(args []string, out io.Writer) (options, error) {
	flags := flag.NewFlagSet("registry", flag.ContinueOnError)
	flags.SetOutput(io.Discard) // main prints errors on one line
	path := flags.String("config", "", "the configuration `FILE`")
	verbose := flags.Bool("v", false, "log at level debug, including the communication between replicas")
	flags.Usage = func() {} // printed below, only for -help
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			fmt.Fprint(out, usage)
			flags.SetOutput(out)
			flags.PrintDefaults()
			return options{}, err
		}
		return options{}, cli.UsageError("%w; see registry -help", err)
	}
	if *path == "" || flags.NArg() > 0 {
		return options{}, cli.UsageError("-config FILE is needed, and no other argument is allowed; see registry -help")
	}
	o := options{configPath: *path, logLevel: slog.LevelInfo}
	if *verbose {
		o.logLevel = slog.LevelDebug
	}
	return o, nil
}
