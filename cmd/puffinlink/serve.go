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
	// aggregatorMemoryShare is the share of an aggregator's memory limit that is used as the Go runtime's soft memory limit.
	// Kernel memory and files need the rest.
	aggregatorMemoryShare = 0.6
	// aggregatorGCPercent is an aggregator's GOGC value. The live heap is small, so it may grow by several times its size
	// between collections.
	aggregatorGCPercent = 400
	// logQueueLines is how many log lines may wait until the reader of standard output accepts them. The queue has room for one
	// line for each connection that an aggregator may have, as all may end at once.
	logQueueLines = 1024
)

type serveCommand struct {
	Operator string `long:"operator" value-name:"FILE" env:"PUFFINLINK_OPERATOR" description:"The operator's file; deploy/operator.json5 is an example."`
}

func (s *serveCommand) Execute([]string) error { return serveAggregator(s.Operator) }

// limitRuntime configures the Go runtime for the configured limits on cores and memory.
func limitRuntime(configuration node.Config) {
	if configuration.Limits.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Floor(configuration.Limits.Cores))))
	}
	if configuration.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(aggregatorMemoryShare * configuration.Limits.MemoryMB * (1 << 20)))
		debug.SetGCPercent(aggregatorGCPercent)
	}
}

// reloadConfiguration reads the config file again. The whole file must be valid, but only the discovery address is applied to
// a running aggregator. LB_DISCOVERY overrides the file only at start, so that a reload can change the address.
func reloadConfiguration(n *node.Node) error {
	configuration, _, err := node.Read(func(name string) string {
		if name == "LB_DISCOVERY" {
			return ""
		}
		return os.Getenv(name)
	})
	if err != nil {
		return err
	}
	return n.Reload(configuration)
}

// startInterruptibly starts an aggregator, which may take several seconds. SIGTERM and SIGINT cancel the context of start. All
// signals received meanwhile are sent to the channel again before startInterruptibly returns, so that an aggregator that has
// started handles them.
func startInterruptibly(signals chan os.Signal, start func(context.Context) (*node.Node, error)) (n *node.Node, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	started := make(chan struct{})
	go func() {
		defer close(started)
		n, err = start(ctx)
	}()
	var received []os.Signal
	defer func() {
		for _, s := range received {
			select {
			case signals <- s:
			default: // the channel is full
			}
		}
	}()
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGTERM || s == syscall.SIGINT {
				cancel()
			}
			received = append(received, s)
		case <-started:
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
	operatorSettings := operatorfile.Defaults()
	if operatorFile != "" {
		if operatorSettings, err = operatorfile.Read(operatorFile); err != nil {
			return err
		}
	}
	limitRuntime(configuration)
	// A slow reader of the log must not block the aggregator: lines that do not fit into the queue are dropped and counted.
	eventCounters := counters.New()
	logWriter := asynclog.NewWriter(os.Stdout, logQueueLines, func() { eventCounters.Add("log", "dropped", 1) })
	defer logWriter.Close()
	log := asynclog.New(logWriter).With(zap.String("mixer", configuration.Name))

	aggregator, err := startInterruptibly(signals, func(ctx context.Context) (*node.Node, error) {
		return node.Start(ctx, configuration, settings, operatorSettings, log, eventCounters)
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
				log.Info("counters", zap.Inline(eventCounters))
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
	log.Info("counters", zap.Inline(eventCounters))
	return nil
}
