package main

import (
	"context"
	"errors"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/dataplane/asynclog"
	"puffinlink.example/puffinlink/internal/dataplane/node"
	"puffinlink.example/puffinlink/internal/operators/operatorfile"
)

const (
	// heapShare of the memory limit is the soft limit of Go's heap: stacks, the kernel's part and files come on top.
	heapShare = 0.6
	// heapGrowthPercent lets the heap grow to so many percent beyond what lives, as what lives is small: fewer collections.
	heapGrowthPercent = 400
	// logQueueLines may wait for whoever reads the log: those of all connections that an aggregator may have, ending at once.
	logQueueLines = 1024
)

type serveCommand struct {
	Operator string `long:"operator" value-name:"FILE" env:"PUFFINLINK_OPERATOR" description:"The operator's file; deploy/operator.json5 is an example."`
}

func (s *serveCommand) Execute([]string) error { return serveAggregator(s.Operator) }

// limitRuntime keeps Go within the machine's share.
func limitRuntime(c node.Config) {
	if c.Limits.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Floor(c.Limits.Cores))))
	}
	if c.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * c.Limits.MemoryMB * (1 << 20)))
		debug.SetGCPercent(heapGrowthPercent)
	}
}

// reloadConfiguration reads the config file anew. All of it has to be valid, but only discovery changes under a running aggregator.
// LB_DISCOVERY stands over the file at the start alone: a new file is meant to change it.
func reloadConfiguration(n *node.Node) error {
	c, _, err := node.Read(func(name string) string {
		if name == "LB_DISCOVERY" {
			return ""
		}
		return os.Getenv(name)
	})
	if err != nil {
		return err
	}
	return n.Reload(c)
}

// startInterruptibly starts an aggregator, which may take a while. A signal to stop ends that; one that comes as it is done, and all others, are kept for
// the aggregator that runs.
func startInterruptibly(signals chan os.Signal, begin func(context.Context) (*node.Node, error)) (n *node.Node, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	begun := make(chan struct{})
	go func() {
		defer close(begun)
		n, err = begin(ctx)
	}()
	var kept []os.Signal
	defer func() {
		for _, s := range kept {
			select {
			case signals <- s:
			default: // as many wait already
			}
		}
	}()
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGTERM || s == syscall.SIGINT {
				cancel()
			}
			kept = append(kept, s)
		case <-begun:
			return n, err
		}
	}
}

func serveAggregator(operatorFile string) error {
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	defer signal.Stop(signals)
	configuration, settings, err := node.Read(os.Getenv)
	if err != nil {
		return err
	}
	file := operatorfile.Defaults()
	if operatorFile != "" {
		if file, err = operatorfile.Read(operatorFile); err != nil {
			return err
		}
	}
	limitRuntime(configuration)
	// Whoever reads the log must not hold up the aggregator: lines that find no room are dropped and counted.
	count := counters.New()
	logWriter := asynclog.NewWriter(os.Stdout, logQueueLines, func() { count.Add("log", "dropped", 1) })
	defer logWriter.Close()
	log := asynclog.New(logWriter).With(zap.String("mixer", configuration.Name))

	aggregator, err := startInterruptibly(signals, func(ctx context.Context) (*node.Node, error) {
		return node.Start(ctx, configuration, settings, file, log, count)
	})
	if errors.Is(err, context.Canceled) {
		log.Info("stopped before serving")
		return nil
	} else if err != nil {
		return err
	}
	for running := true; running; {
		select {
		case s := <-signals:
			switch s {
			case syscall.SIGUSR1:
				log.Info("counters", zap.Inline(count))
			case syscall.SIGHUP:
				if err := reloadConfiguration(aggregator); err != nil {
					log.Error("configuration file rejected", zap.String("text", err.Error()))
				} else {
					log.Info("configuration file reloaded")
				}
			default:
				aggregator.Drain()
			}
		case <-aggregator.Drained():
			running = false
		}
	}
	aggregator.Stop()
	log.Info("counters", zap.Inline(count))
	return nil
}
