package main

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"puffinlink.example/puffinlink/internal/tools/demo"
)

type demoCommand struct {
	For         time.Duration `long:"for" value-name:"DURATION" description:"How long; until it is interrupted where it is not stated."`
	Aggregators int           `long:"mixers" value-name:"NUMBER" default:"2" description:"How many mixers."`
	Backends    int           `long:"searchers" value-name:"NUMBER" default:"6" description:"How many searchers."`
	PerS        float64       `long:"per-s" value-name:"NUMBER" default:"200" description:"Lookups a second."`
	Service     time.Duration `long:"service" value-name:"DURATION" default:"5ms" description:"Mean time of a part."`
	Directory   string        `long:"directory" value-name:"STRING" description:"Where overrides are kept; memory where it is not stated."`
	Every       time.Duration `long:"every" value-name:"DURATION" default:"1s" description:"Between two tables."`
	Log         string        `long:"log" value-name:"FILE" description:"Where the mixers' log goes; nowhere where it is not stated."`
	JSON        bool          `long:"json" description:"The summary alone, as JSON."`
	System      bool          `long:"system" description:"Run the cluster scheduler instead: 3 coordinators, 2 fronts, stand-in searchers of 2 services and jobs."`
	JobsPerS    float64       `long:"jobs-per-s" value-name:"NUMBER" default:"6" description:"With --system: jobs a second."`
	LogLevel    string        `long:"log-level" value-name:"STRING" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"With --system: least level of the lines in the file of --log."`
}

func (c *demoCommand) Execute([]string) (err error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.System {
		return c.runSystem(ctx)
	}
	o := demo.Options{For: c.For, Aggregators: c.Aggregators, Backends: c.Backends, PerS: c.PerS, Service: c.Service, Directory: c.Directory,
		JSON: c.JSON, Every: max(c.Every, 100*time.Millisecond), Out: stdout}
	if info, err := os.Stdout.Stat(); err == nil {
		o.Live = info.Mode()&os.ModeCharDevice != 0
	}
	if c.Log != "" {
		f, err := os.Create(c.Log)
		if err != nil {
			return err
		}
		defer func() { err = errors.Join(err, f.Close()) }()
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
