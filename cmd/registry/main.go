// Registry is one replica of the registry of booking servers. docs/REGISTRY.md describes it.
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

SIGTERM and SIGINT hand leadership over and end it; SIGHUP reads the file again
(limits and sessions may change). docs/REGISTRY.md describes the file.

` + cli.StatusHelp + `

`

// The main goroutine keeps the main thread, and only waits. The kernel picks that thread for a
// signal to the process: in a call of a disk that hangs it would not take SIGTERM.
func init() { runtime.LockOSThread() }

func main() {
	os.Exit(cli.Report("registry", run(os.Args[1:], os.Stderr), os.Stderr))
}

// options are what the command line says.
type options struct {
	configPath string
	logLevel   slog.Level
}

// run serves one replica until it is asked to end.
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
	flags.SetOutput(io.Discard) // errors are printed in one line, by main
	path := flags.String("config", "", "the configuration `FILE`")
	verbose := flags.Bool("v", false, "log what the replicas say to each other")
	flags.Usage = func() {} // printed below, for -help alone
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			fmt.Fprint(out, usage)
			flags.SetOutput(out)
			flags.PrintDefaults()
			return options{}, err
		}
		return options{}, cli.WrongCall("%w; see registry -help", err)
	}
	if *path == "" || flags.NArg() > 0 {
		return options{}, cli.WrongCall("-config FILE is needed, and nothing else; see registry -help")
	}
	o := options{configPath: *path, logLevel: slog.LevelInfo}
	if *verbose {
		o.logLevel = slog.LevelDebug
	}
	return o, nil
}
