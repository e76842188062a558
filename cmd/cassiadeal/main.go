// Command cassiadeal is the operators' command line.
package main

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"

	"cassiadeal.example/cassiadeal/internal/cli"
	"cassiadeal.example/cassiadeal/internal/demo"
	"cassiadeal.example/cassiadeal/internal/load"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	var loadExit *load.ExitError
	code := cli.Run(ctx, cli.Options{
		Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv, Demo: demo.Main,
		Load: func(ctx context.Context, args []string, stdout, stderr io.Writer) error {
			err := load.Main(ctx, args, stdout, stderr)
			errors.As(err, &loadExit)
			return err
		},
	}, os.Args[1:])
	stop()
	// cli.Run returns 1 for errors of load and demo, so the exit code of load is taken from its error.
	if loadExit != nil {
		code = loadExit.Code
	}
	os.Exit(code)
}
