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

// systemMemoryShare of a process's memory limit is the soft limit of the Go runtime; what sockets hold comes on top.
const systemMemoryShare = 0.7

// systemProcess is one process of the cluster scheduler, started by its sub-command.
type systemProcess struct {
	name        string
	short       string
	description string
	run         func(ctx context.Context, node *systemNode) error
}

// systemNode is what a process of the cluster scheduler starts with.
type systemNode struct {
	settings nodesettings.Settings
	changes  <-chan nodesettings.Settings // newer settings
	log      *zap.Logger
	metrics  string // address of the metrics, host:port; empty for none
	// local is the loopback address, host:port, at which the agent and the proxy of one machine meet; empty for the
	// standard one. It differs where several machines share a loopback.
	local string
}

// localAddress is where the agent and the proxy of this machine meet.
func (n *systemNode) localAddress() string {
	if n.local != "" {
		return n.local
	}
	return n.settings.LoopbackAddress(agentLocalOffset)
}

// systemOptions are the flags of the sub-commands.
type systemOptions struct {
	LogLevel string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"Minimum level of logged lines."`
	Metrics  string `long:"metrics" value-name:"ADDRESS" description:"Serve metrics for Prometheus at this address, host:port, under /metrics; off if it is not given."`
}

// systemProcesses are the processes by the order of the help.
var systemProcesses = []systemProcess{
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

const systemUsage = "\n\nThe settings file is the one that the environment variable " + nodesettings.PathVariable + " names; it is read again on SIGHUP and when it " +
	"changes. SIGTERM stops the process in order. Exit codes: 0 stopped in order, 1 failed, 2 command line or settings not valid." +
	"\n\nExample: " + nodesettings.PathVariable + "=/etc/puffinlink/local.conf puffinlink "

// findSystemProcess tells which process of the cluster scheduler a command line starts.
func findSystemProcess(args []string) (systemProcess, bool) {
	if len(args) == 0 {
		return systemProcess{}, false
	}
	for _, process := range systemProcesses {
		if process.name == args[0] {
			return process, true
		}
	}
	return systemProcess{}, false
}

// runSystemCommand runs a process of the cluster scheduler and tells its exit code.
func runSystemCommand(process systemProcess, args []string) int {
	var options systemOptions
	if code, done := parseSystemFlags(process, args, &options); done {
		return code
	}
	settings, err := nodesettings.Load()
	if err != nil {
		fmt.Fprintln(stderr, "puffinlink:", err)
		return exitUsage
	}
	log := newSystemLog(options.LogLevel, process.name, settings.NodeName)
	if err := runSystemProcess(process, settings, &options, log); err != nil {
		log.Error("process failed", zap.Error(err))
		return exitFailed
	}
	return 0
}

// parseSystemFlags reads the flags of a sub-command; done means that the command ends with the code.
func parseSystemFlags(process systemProcess, args []string, options *systemOptions) (code int, done bool) {
	parser := flags.NewNamedParser("puffinlink "+process.name, flags.HelpFlag)
	parser.ShortDescription = process.short
	parser.LongDescription = process.description + systemUsage + process.name
	if _, err := parser.AddGroup("Options", "", options); err != nil {
		panic(err) // a mistake in the tags above
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

// newSystemLog makes the log of a process, on standard output.
func newSystemLog(level, process, node string) *zap.Logger {
	return newLog(zapcore.AddSync(stdout), level).With(zap.String("node", node), zap.String("process", process))
}

// newLog makes a log of JSON lines.
func newLog(out zapcore.WriteSyncer, level string) *zap.Logger {
	least, err := zapcore.ParseLevel(level)
	if err != nil {
		least = zapcore.InfoLevel // the flag's choices are all levels
	}
	configuration := zap.NewProductionEncoderConfig()
	configuration.EncodeTime = zapcore.ISO8601TimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(configuration), zapcore.Lock(out), least))
}

// runSystemProcess runs a process until it fails or is told to stop by a signal.
func runSystemProcess(process systemProcess, settings nodesettings.Settings, options *systemOptions, log *zap.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	setMemoryLimit(settings)
	watching, stopWatching := context.WithCancel(context.Background())
	defer stopWatching()
	node := &systemNode{
		metrics:  options.Metrics,
		settings: settings,
		changes:  nodesettings.Watch(watching, os.Getenv(nodesettings.PathVariable), settings, reload, log),
		log:      log,
	}
	log.Info("process starts", zap.Bool("firstStart", settings.FirstStart), zap.String("zone", settings.Zone))
	if err := process.run(ctx, node); err != nil {
		return fmt.Errorf("%s: %w", process.name, err)
	}
	log.Info("process ends")
	return nil
}

func setMemoryLimit(settings nodesettings.Settings) {
	debug.SetMemoryLimit(int64(systemMemoryShare * float64(settings.Limits.MemoryMB<<20)))
}
