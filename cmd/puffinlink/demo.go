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
	For              time.Duration `long:"for" value-name:"DURATION" description:"How long to run; until interrupted by default."`
	Aggregators      int           `long:"mixers" value-name:"NUMBER" default:"2" description:"Number of aggregators."`
	Backends         int           `long:"searchers" value-name:"NUMBER" default:"6" description:"Number of backends, or of workers with --system."`
	QueriesPerSecond float64       `long:"per-s" value-name:"NUMBER" default:"200" description:"Queries per second."`
	Service          time.Duration `long:"service" value-name:"DURATION" default:"5ms" description:"Mean service time of a subquery."`
	Directory        string        `long:"directory" value-name:"STRING" description:"Directory that stores overrides; they are kept in memory by default."`
	Every            time.Duration `long:"every" value-name:"DURATION" default:"1s" description:"Interval between two tables."`
	Log              string        `long:"log" value-name:"FILE" description:"File for the processes' log; no log by default."`
	JSON             bool          `long:"json" description:"Print only the summary, as JSON."`
	System           bool          `long:"system" description:"Run the cluster scheduler instead: 3 coordinators, 2 front machines, fake workers of 2 services, and jobs."`
	JobsPerSecond    float64       `long:"jobs-per-s" value-name:"NUMBER" default:"6" description:"With --system: jobs per second."`
	LogLevel         string        `long:"log-level" value-name:"STRING" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"With --system: minimum level of the lines written to the --log file."`
}

func (c *demoCommand) Execute([]string) (err error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.System {
		return c.runCluster(ctx)
	}
	options := demo.Options{Duration: c.For, Aggregators: c.Aggregators, Backends: c.Backends, QueriesPerSecond: c.QueriesPerSecond, ServiceTime: c.Service, OverrideDirectory: c.Directory,
		JSON: c.JSON, TableInterval: max(c.Every, 100*time.Millisecond), Out: stdout}
	if info, err := os.Stdout.Stat(); err == nil {
		options.Redraw = info.Mode()&os.ModeCharDevice != 0
	}
	if c.Log != "" {
		file, err := os.Create(c.Log)
		if err != nil {
			return err
		}
		defer func() { err = errors.Join(err, file.Close()) }()
		options.Log = io.Writer(file)
	}
	summary, err := demo.Run(ctx, options)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(stdout).Encode(summary)
	}
	summary.Print(stdout)
	return nil
}
