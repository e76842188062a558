// Command cassiadeald is the daemon that runs on every entry VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"cassiadeal.example/cassiadeal/internal/connpool"
	"cassiadeal.example/cassiadeal/internal/entry"
	"cassiadeal.example/cassiadeal/internal/node"
	"cassiadeal.example/cassiadeal/internal/settings"
	"cassiadeal.example/cassiadeal/internal/telemetry"
	"cassiadeal.example/cassiadeal/platform"
)

type arguments struct {
	Config   string `arg:"--config" help:"settings file of this node (INI)"`
	Platform bool   `arg:"--platform" help:"serve on the users' platform, with the settings file that it provides"`
	LogLevel string `arg:"--log-level" default:"info" help:"debug, info, warning or error"`
	Prefer   bool   `arg:"--prefer-connected" help:"send streams of --platform to a replica with a kept connection among those that are equally good"`
	MaxIdle  int    `arg:"--max-idle-connections" help:"connections to replicas that --platform keeps for later requests; 0 opens one for each request"`
}

// Description is shown in the help text.
func (arguments) Description() string {
	return "cassiadeald serves callers of model replicas and services on one entry VM."
}

// maxIdleLimit is a third of the descriptors of the smallest machines (2,870), which requests need too.
const maxIdleLimit = 950

func main() {
	args := arguments{MaxIdle: connpool.DefaultMaxIdle}
	arg.MustParse(&args)
	serve := run
	if args.Platform {
		serve = runOnPlatform
	} else if args.Config == "" {
		fmt.Fprintln(os.Stderr, "either --config or --platform must be given")
		os.Exit(2)
	}
	if args.MaxIdle < 0 || args.MaxIdle > maxIdleLimit {
		fmt.Fprintf(os.Stderr, "--max-idle-connections must be from 0 to %d\n", maxIdleLimit)
		os.Exit(2)
	}
	if err := serve(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run serves with the settings file of --config until SIGTERM or SIGINT.
func run(args arguments) error {
	s, err := settings.Load(args.Config)
	if err != nil {
		return err
	}
	log, err := telemetry.NewLogger(os.Stdout, s.Node.Name, args.LogLevel)
	if err != nil {
		return err
	}
	n, err := node.New(s, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return n.Run(ctx)
}

// logFlushTimeout limits the time for writing the last log lines when the process ends.
const logFlushTimeout = 200 * time.Millisecond

// runOnPlatform serves on the users' platform until SIGTERM or SIGINT. SIGHUP checks the settings file
// again and logs the result; the settings in use stay.
func runOnPlatform(args arguments) error {
	s, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	s.MaxIdleConnections, s.PreferConnected = args.MaxIdle, args.Prefer
	output := telemetry.NewBoundedWriter(os.Stdout)
	defer output.Close(logFlushTimeout)
	log, err := telemetry.NewLogger(output, s.Node, args.LogLevel)
	if err != nil {
		return err
	}
	n, err := entry.New(s, log)
	if err != nil {
		return err
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go func() {
		for range reload {
			n.Reload()
		}
	}()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return n.Run(ctx)
}
