// Command cassiadeald is the daemon that runs on every entry VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"cassiadeal.example/cassiadeal/internal/node"
	"cassiadeal.example/cassiadeal/internal/settings"
	"cassiadeal.example/cassiadeal/internal/telemetry"
)

type arguments struct {
	Config   string `arg:"--config,required" help:"settings file of this node (INI)"`
	LogLevel string `arg:"--log-level" default:"info" help:"debug, info, warning or error"`
}

// Description is shown in the help text.
func (arguments) Description() string {
	return "cassiadeald serves callers of model replicas and services on one entry VM."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

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
