package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"puffinlink.example/puffinlink/internal/nodesettings"
)

// processMemoryShare is the share of a process's memory limit that is used as the Go runtime's soft memory limit. Socket
// buffers in the kernel need part of the rest.
const processMemoryShare = 0.7

// clusterProcess is a process of the cluster scheduler and the subcommand that starts it.
type clusterProcess struct {
	name        string
	short       string
	description string
	run         func(ctx context.Context, env *processEnvironment) error
}

// processEnvironment contains the settings, the log and the addresses that a process of the cluster scheduler runs with.
type processEnvironment struct {
	settings       nodesettings.Settings
	changes        <-chan nodesettings.Settings // receives the settings after each change
	log            *zap.Logger
	metricsAddress string // address that serves metrics, host:port; empty if metrics are off
	// localOverride replaces the loopback address, host:port, at which the proxy reaches the agent of its machine. It is empty
	// unless several emulated machines share a loopback interface, as in the demo.
	localOverride string
}

// localAddress returns the loopback address at which the proxy reaches the agent of its machine.
func (e *processEnvironment) localAddress() string {
	if e.localOverride != "" {
		return e.localOverride
	}
	return e.settings.LoopbackAddress(agentLocalPortOffset)
}

// processOptions are the flags of the subcommands that start a process of the cluster scheduler.
type processOptions struct {
	LogLevel string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"Minimum level of logged lines."`
	Metrics  string `long:"metrics" value-name:"ADDRESS" description:"Serve metrics for Prometheus at this address, host:port, under /metrics; off if it is not given."`
}

// clusterProcesses lists the processes in the order of the help.
var clusterProcesses = []clusterProcess{
	{
		name:        "proxy",
		short:       "Serve clients on a front machine",
		description: "Serves the clients of a front machine: it accepts jobs and reports their states. It needs the agent on the same machine.",
		run:         runProxy,
	},
	{
		name:        "agent",
		short:       "Link a front machine to the control plane",
		description: "Keeps the link from a front machine to the control plane, and feeds the proxy on the same machine.",
		run:         runAgent,
	},
	{
		name:        "coordinator",
		short:       "Hold the control state on a core machine",
		description: "Holds the replicated control state on a core machine, serves the operator, and schedules jobs.",
		run:         runCoordinator,
	},
}

// processUsage ends the help of each process's subcommand. The name of the process follows it.
const processUsage = "\n\nThe settings file is the one that the environment variable " + nodesettings.PathVariable + " names; it is read again on SIGHUP and when it " +
	"changes. SIGTERM stops the process in order. Exit codes: 0 stopped in order, 1 failed, 2 command line or settings not valid." +
	"\n\nExample: " + nodesettings.PathVariable + "=/etc/puffinlink/local.conf puffinlink "

// findClusterProcess returns the process of the cluster scheduler that a command line starts, if it starts one.
func findClusterProcess(args []string) (clusterProcess, bool) {
	if len(args) == 0 {
		return clusterProcess{}, false
	}
	for _, process := range clusterProcesses {
		if process.name == args[0] {
			return process, true
		}
	}
	return clusterProcess{}, false
}

// runProcessCommand parses the flags of a process's subcommand, loads the settings and runs the process. It returns the exit code.
func runProcessCommand(process clusterProcess, args []string) int {
	var options processOptions
	if code, done := parseProcessFlags(process, args, &options); done {
		return code
	}
	settings, err := nodesettings.Load()
	if err != nil {
		fmt.Fprintln(stderr, "puffinlink:", err)
		return exitUsage
	}
	log := newProcessLog(options.LogLevel, process.name, settings.NodeName)
	if err := runClusterProcess(process, settings, &options, log); err != nil {
		log.Error("process failed", zap.Error(err))
		return exitFailed
	}
	return 0
}

// parseProcessFlags parses the flags of a process's subcommand. If done is true, help or an error was printed and the program
// exits with code.
func parseProcessFlags(process clusterProcess, args []string, options *processOptions) (code int, done bool) {
	parser := flags.NewNamedParser("puffinlink "+process.name, flags.HelpFlag)
	parser.ShortDescription = process.short
	parser.LongDescription = process.description + processUsage + process.name
	if _, err := parser.AddGroup("Options", "", options); err != nil {
		panic(err) // the struct tags of processOptions are invalid
	}
	rest, err := parser.ParseArgs(args)
	if flags.WroteHelp(err) {
		fmt.Fprintln(stdout, err)
		return 0, true
	}
	if err == nil && len(rest) > 0 {
		err = usageErrorf("unexpected argument %s", rest[0])
	}
	if err != nil {
		fmt.Fprintf(stderr, "puffinlink %s: %v; see puffinlink %s --help\n", process.name, err, process.name)
		return exitUsage, true
	}
	return 0, false
}

// newProcessLog returns the logger of a process. It writes to standard output.
func newProcessLog(level, process, nodeName string) *zap.Logger {
	return newLog(zapcore.AddSync(stdout), level).With(zap.String("node", nodeName), zap.String("process", process))
}

// newLog returns a logger that writes JSON lines.
func newLog(out zapcore.WriteSyncer, level string) *zap.Logger {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		minLevel = zapcore.InfoLevel // unreachable: each choice of --log-level is a level
	}
	encoderConfig := zap.NewProductionEncoderConfig()
	encoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoderConfig), zapcore.Lock(out), minLevel))
}

// runClusterProcess runs a process until it fails or SIGTERM or an interrupt stops it. SIGHUP reloads the settings.
func runClusterProcess(process clusterProcess, settings nodesettings.Settings, options *processOptions, log *zap.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	setMemoryLimit(settings)
	watchCtx, stopWatching := context.WithCancel(context.Background())
	defer stopWatching()
	env := &processEnvironment{
		metricsAddress: options.Metrics,
		settings:       settings,
		changes:        nodesettings.Watch(watchCtx, os.Getenv(nodesettings.PathVariable), settings, reload, log),
		log:            log,
	}
	log.Info("process starts", zap.Bool("firstStart", settings.FirstStart), zap.String("zone", settings.Zone))
	if err := process.run(ctx, env); err != nil {
		return fmt.Errorf("%s: %w", process.name, err)
	}
	log.Info("process ends")
	return nil
}

// setMemoryLimit sets the Go runtime's soft memory limit from the settings.
func setMemoryLimit(settings nodesettings.Settings) {
	debug.SetMemoryLimit(int64(processMemoryShare * float64(settings.Limits.MemoryMB<<20)))
}
