// Command cassiadeald is the daemon that runs on every entry VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/rotisserie/eris"

	"cassiadeal.example/cassiadeal/internal/connpool"
	"cassiadeal.example/cassiadeal/internal/entry"
	"cassiadeal.example/cassiadeal/internal/intake"
	"cassiadeal.example/cassiadeal/internal/node"
	"cassiadeal.example/cassiadeal/internal/settings"
	"cassiadeal.example/cassiadeal/internal/telemetry"
	"cassiadeal.example/cassiadeal/platform"
)

type arguments struct {
	Config   string `arg:"--config" help:"settings file of this node (INI)"`
	Platform bool   `arg:"--platform" help:"serve on the users' platform, with the settings file that it provides"`
	Follow   bool   `arg:"--follow-demand" help:"with --platform: let model replicas follow the demand for two models"`
	LogLevel string `arg:"--log-level" default:"info" help:"debug, info, warning or error"`
	Shares   bool   `arg:"--account-shares" help:"with --platform: let client accounts beyond their fair share give way also where all routes have one priority"`
	Prefer   bool   `arg:"--prefer-connected" help:"send streams of --platform to a replica with a kept connection among those that are equally good"`
	MaxIdle  int    `arg:"--max-idle-connections" help:"connections to replicas that --platform keeps for later requests; 0 opens one for each request"`
}

// Description is shown in the help text.
func (arguments) Description() string {
	return "cassiadeald serves callers of model replicas and services on one entry VM."
}

// maxIdleLimit is a third of the descriptors of the smallest machines (2,870), which requests need too.
const maxIdleLimit = 950

// check returns an error if the arguments don't fit together.
func (a arguments) check() error {
	switch {
	case !a.Platform && a.Config == "":
		return eris.New("either --config or --platform must be given")
	case a.Follow && !a.Platform:
		return eris.New("--follow-demand is only used with --platform")
	case a.Shares && !a.Platform:
		return eris.New("--account-shares is only used with --platform")
	case a.MaxIdle < 0 || a.MaxIdle > maxIdleLimit:
		return eris.Errorf("--max-idle-connections must be from 0 to %d", maxIdleLimit)
	}
	return nil
}

func main() {
	args := arguments{MaxIdle: connpool.DefaultMaxIdle}
	arg.MustParse(&args)
	if err := args.check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	serve := run
	if args.Platform {
		serve = runOnPlatform
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
	limitMemory(int(s.Limits.MemoryMB))
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

// limitMemory makes the garbage collector run more often when the heap approaches the memory of the machine; 0 if the settings state none.
// GOMEMLIMIT takes precedence.
func limitMemory(memoryMB int) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(intake.SoftMemoryLimit(memoryMB))
	}
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
	s.MaxIdleConnections, s.PreferConnected, s.AccountShares = args.MaxIdle, args.Prefer, args.Shares
	limitMemory(s.MemoryMB)
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
	if args.Follow {
		if err := n.FollowDemand(); err != nil {
			return err
		}
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
