// Command standin runs a stand-in for the platform, for model engines or for a service as a process, for tests and trials.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"cassiadeal.example/cassiadeal/internal/standin/engine"
	"cassiadeal.example/cassiadeal/internal/standin/platform"
	"cassiadeal.example/cassiadeal/internal/standin/service"
)

type platformArgs struct {
	Listen       string `arg:"--listen" default:"127.0.0.1:0" help:"address of the object API"`
	WritesPerSec int    `arg:"--writes-per-sec" help:"answer 429 above this rate; 0 means no limit"`
	ReadsPerSec  int    `arg:"--reads-per-sec" help:"answer 429 above this rate; 0 means no limit"`
	HistoryLimit int    `arg:"--history-limit" help:"events kept per kind for watches"`
	Seed         uint64 `arg:"--seed" default:"1"`
}

type engineArgs struct {
	VMs             []string      `arg:"--vm,separate,required" placeholder:"NAME=ADDR"`
	Admin           string        `arg:"--admin" default:"127.0.0.1:0" help:"address for switches and records"`
	Fenced          bool          `arg:"--fenced" default:"true" help:"refuse orders with an old fencing number"`
	Weights         []string      `arg:"--weights,separate" placeholder:"MODEL" help:"model that every VM holds from the start"`
	SlotsWarm       int           `arg:"--slots-warm" help:"batch slots, and the bound of a warm engine"`
	MaxInFlightCold int           `arg:"--bears-cold" help:"requests in flight that a cold engine bears"`
	TokenDelay      time.Duration `arg:"--token-delay"`
	PrefillPerToken time.Duration `arg:"--prefill-per-token"`
	LoadTime        time.Duration `arg:"--load-time"`
	RestartTime     time.Duration `arg:"--restart-time"`
	LoadLag         time.Duration `arg:"--load-lag"`
	OrphanTime      time.Duration `arg:"--orphan-time"`
	CacheTokens     int           `arg:"--cache-tokens"`
	Seed            uint64        `arg:"--seed" default:"1"`
}

type serviceArgs struct {
	Listen          string        `arg:"--listen" default:"127.0.0.1:0"`
	Admin           string        `arg:"--admin" default:"127.0.0.1:0" help:"address for switches and records"`
	Name            string        `arg:"--name,required"`
	MaxInFlightCold int           `arg:"--bears-cold" help:"requests in flight that a cold instance bears"`
	MaxInFlightWarm int           `arg:"--bears-warm" help:"bound up to which it warms up"`
	RestartTime     time.Duration `arg:"--restart-time"`
}

type arguments struct {
	Platform *platformArgs `arg:"subcommand:platform" help:"object API and VM list"`
	Engine   *engineArgs   `arg:"subcommand:engine" help:"model engines of one or more VMs"`
	Service  *serviceArgs  `arg:"subcommand:service" help:"plain service"`
}

func main() {
	var a arguments
	parser := arg.MustParse(&a)
	// Before anything listens: a caller that has an answer may send the signal.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	var ready map[string]any
	var err error
	switch {
	case a.Platform != nil:
		ready, err = startPlatform(a.Platform)
	case a.Engine != nil:
		ready, err = startEngine(a.Engine)
	case a.Service != nil:
		ready, err = startService(a.Service)
	default:
		parser.Fail("missing subcommand: platform, engine or service")
	}
	if err == nil {
		ready["ready"] = true
		err = json.NewEncoder(os.Stdout).Encode(ready)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		os.Exit(1)
	}
	<-stop
}

func startPlatform(a *platformArgs) (map[string]any, error) {
	s := platform.New(platform.Options{
		WritesPerSec: a.WritesPerSec, ReadsPerSec: a.ReadsPerSec, HistoryLimit: a.HistoryLimit, Seed: a.Seed,
	})
	addr, err := s.Start(a.Listen)
	return map[string]any{"address": addr, "admin": addr}, err
}

func startEngine(a *engineArgs) (map[string]any, error) {
	options := engine.Options{
		Admin: a.Admin, ChecksFencing: a.Fenced, Weights: a.Weights, BatchSlots: a.SlotsWarm, ColdLimit: a.MaxInFlightCold,
		TokenDelay: a.TokenDelay, PrefillPerToken: a.PrefillPerToken, LoadTime: a.LoadTime, RestartTime: a.RestartTime,
		LoadLag: a.LoadLag, OrphanTime: a.OrphanTime, CacheTokens: a.CacheTokens, Seed: a.Seed,
	}
	for _, vm := range a.VMs {
		name, addr, ok := strings.Cut(vm, "=")
		if !ok || name == "" {
			return nil, fmt.Errorf("--vm %q is not NAME=ADDR", vm)
		}
		options.VMs = append(options.VMs, engine.VM{Name: name, Listen: addr})
	}
	s := engine.New(options)
	if err := s.Start(); err != nil {
		return nil, err
	}
	return map[string]any{"admin": s.AdminAddr(), "vms": s.Addrs()}, nil
}

func startService(a *serviceArgs) (map[string]any, error) {
	s := service.New(service.Options{
		Name: a.Name, Listen: a.Listen, Admin: a.Admin, ColdLimit: a.MaxInFlightCold, WarmLimit: a.MaxInFlightWarm,
		RestartTime: a.RestartTime,
	})
	if err := s.Start(); err != nil {
		return nil, err
	}
	return map[string]any{"address": s.Addr(), "admin": s.AdminAddr()}, nil
}
