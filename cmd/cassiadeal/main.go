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
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, cli.Options{
		Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv, Load: notBuilt, Demo: demo.Main,
	}, os.Args[1:])
	stop()
	os.Exit(code)
}

func notBuilt(context.Context, []string, io.Writer, io.Writer) error {
	return errors.New("not built yet")
}
