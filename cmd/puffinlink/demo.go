package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"puffinlink.example/puffinlink/internal/tools/demo"
)

type demoCmd struct {
	For       time.Duration `help:"How long; until it is interrupted where it is not stated."`
	Mixers    int           `default:"2" help:"How many mixers."`
	Searchers int           `default:"6" help:"How many searchers."`
	PerS      float64       `name:"per-s" default:"200" help:"Lookups a second."`
	Service   time.Duration `default:"5ms" help:"Mean time of a part."`
	Directory string        `help:"Where overrides are kept; memory where it is not stated."`
	Every     time.Duration `default:"1s" help:"Between two tables."`
	Log       string        `help:"Where the mixers' log goes; nowhere where it is not stated." placeholder:"FILE"`
	JSON      bool          `name:"json" help:"The summary alone, as JSON."`
	System    bool          `help:"Run the cluster scheduler instead: 3 coordinators, 2 fronts, stand-in searchers of 2 services and jobs."`
	JobsPerS  float64       `name:"jobs-per-s" default:"6" help:"With --system: jobs a second."`
}

func (c *demoCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.System {
		return c.runSystem(ctx)
	}
	o := demo.Options{For: c.For, Mixers: c.Mixers, Searchers: c.Searchers, PerS: c.PerS, Service: c.Service, Directory: c.Directory,
		JSON: c.JSON, Every: max(c.Every, 100*time.Millisecond), Out: stdout}
	if info, err := os.Stdout.Stat(); err == nil {
		o.Live = info.Mode()&os.ModeCharDevice != 0
	}
	if c.Log != "" {
		f, err := os.Create(c.Log)
		if err != nil {
			return err
		}
		defer f.Close()
		o.Log = io.Writer(f)
	}
	sum, err := demo.Run(ctx, o)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(stdout).Encode(sum)
	}
	sum.Print(stdout)
	return nil
}
