// Registry is one replica of the list of booking servers.
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
	"syscall"

	"barleywick/internal/registry/server"
)

const usage = `registry serves the list of booking servers as one replica of a group.

    registry -config FILE

SIGTERM and SIGINT hand leadership over and end it; SIGHUP reads the file again
(limits and sessions may change). docs/REGISTRY.md describes the file.

`

func main() {
	if err := run(os.Args[1:], os.Stderr); err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(os.Stderr, "registry:", err)
			os.Exit(1)
		}
	}
}

func run(args []string, out io.Writer) error {
	flags := flag.NewFlagSet("registry", flag.ContinueOnError)
	flags.SetOutput(out)
	path := flags.String("config", "", "the configuration `FILE`")
	verbose := flags.Bool("v", false, "log what the replicas say to each other")
	flags.Usage = func() {
		fmt.Fprint(out, usage)
		flags.PrintDefaults()
	}
	if err := flags.Parse(args); err != nil {
		return err
	}
	if *path == "" || flags.NArg() > 0 {
		flags.Usage()
		return errors.New("-config FILE is needed, and nothing else")
	}
	level := slog.LevelInfo
	if *verbose {
		level = slog.LevelDebug
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level})))
	stop, done := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer done()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	return server.Run(stop, reload, *path)
}
