package main

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"puffinlink.example/puffinlink/internal/nodesettings"
	"puffinlink.example/puffinlink/internal/tools/demo/cluster"
)

// clusterDemoDuration is how long the demo of the cluster scheduler generates load if --for is not set.
const clusterDemoDuration = 20 * time.Second

// errDemoFailed means that the demo lost or repeated work, or did not complete. The printed summary shows the counts.
var errDemoFailed = errors.New("the demo did not end as it should: see the counts above")

// runCluster runs the demo of the cluster scheduler.
func (c *demoCommand) runCluster(ctx context.Context) (err error) {
	directory, remove, err := c.workDirectory()
	if err != nil {
		return err
	}
	defer remove()
	log, closeLog, err := c.openLog()
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, closeLog()) }()
	options := cluster.Options{
		LoadDuration: c.For, ProgressInterval: c.Every, WorkersPerService: c.Backends, JobsPerSecond: c.JobsPerSecond, Directory: directory, Out: stdout, Log: log,
		Launcher: processLauncher{c.LogLevel}.clusterLauncher(),
	}
	if options.LoadDuration == 0 {
		options.LoadDuration = clusterDemoDuration
	}
	if c.JSON {
		options.Out = io.Discard
	}
	summary, err := cluster.Run(ctx, options)
	if err != nil {
		return err
	}
	if err := printClusterSummary(&summary, c.JSON); err != nil {
		return err
	}
	if !summary.Succeeded() {
		return errDemoFailed
	}
	return nil
}

func printClusterSummary(summary *cluster.Summary, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(stdout).Encode(summary)
	}
	summary.Print(stdout)
	return nil
}

// workDirectory returns the directory that --directory names, which must be empty, or else a new temporary directory. The
// caller calls remove at the end; it deletes only a temporary directory.
func (c *demoCommand) workDirectory() (directory string, remove func(), err error) {
	if c.Directory != "" {
		entries, err := os.ReadDir(c.Directory)
		if err == nil && len(entries) > 0 {
			err = usageErrorf("--directory %s is not empty: name an empty one, or none", c.Directory)
		}
		return c.Directory, func() {}, err
	}
	directory, err = os.MkdirTemp("", "puffinlink-demo-")
	// A killed process may still write while the directory is removed, so files may remain. Nothing depends on them.
	return directory, func() { _ = os.RemoveAll(directory) }, err
}

// openLog creates the file that --log names. Without --log, the log is discarded.
func (c *demoCommand) openLog() (log io.Writer, closeLog func() error, err error) {
	if c.Log == "" {
		return io.Discard, func() error { return nil }, nil
	}
	file, err := os.Create(c.Log)
	if err != nil {
		return nil, nil, err
	}
	return file, file.Close, nil
}

// processLauncher starts the processes of the demo.
type processLauncher struct{ logLevel string }

func (l processLauncher) clusterLauncher() cluster.Launcher {
	return cluster.Launcher{Coordinator: l.startCoordinator, Front: l.startFront}
}

// startCoordinator starts a coordinator as a child process, so that the demo can kill it.
func (l processLauncher) startCoordinator(settingsFile string, log io.Writer) (*cluster.Process, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	command := exec.Command(program, "coordinator", "--log-level", l.logLevel)
	command.Env = append(os.Environ(), nodesettings.PathVariable+"="+settingsFile)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL} // an interrupt at the terminal reaches only the demo; the child is killed if the demo dies
	if err := command.Start(); err != nil {
		return nil, err
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = command.Wait() // the exit status does not matter: the demo kills processes, and failures are in the log
	}()
	return &cluster.Process{
		// Both fail only if the process has already ended, which closes Ended.
		Kill:  func() { _ = command.Process.Kill() },
		Stop:  func() { _ = command.Process.Signal(syscall.SIGTERM) },
		Ended: ended,
	}, nil
}

// startFront runs the proxy and the agent of a front machine within this process.
func (l processLauncher) startFront(settingsFile, localAddress string, log io.Writer) (*cluster.Process, error) {
	settings, err := nodesettings.LoadFile(settingsFile)
	if err != nil {
		return nil, err
	}
	return l.startInProcess(settings, localAddress, log, runAgent, runProxy), nil
}

// startInProcess runs the given processes of one machine in goroutines. If one ends, the others are stopped.
func (l processLauncher) startInProcess(settings nodesettings.Settings, localAddress string, log io.Writer, processes ...func(context.Context, *processEnvironment) error) *cluster.Process {
	ctx, stop := context.WithCancel(context.Background())
	logger := l.newLog(settings.NodeName, log)
	var running sync.WaitGroup
	for _, run := range processes {
		changes := make(chan nodesettings.Settings)
		context.AfterFunc(ctx, func() { close(changes) })
		running.Go(func() {
			defer stop() // stops the others too
			env := &processEnvironment{settings: settings, changes: changes, log: logger, localOverride: localAddress}
			if err := run(ctx, env); err != nil {
				logger.Error("process failed", zap.Error(err))
			}
		})
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		running.Wait()
	}()
	return &cluster.Process{Kill: stop, Stop: stop, Ended: ended}
}

func (l processLauncher) newLog(nodeName string, log io.Writer) *zap.Logger {
	if log == io.Discard {
		return zap.NewNop()
	}
	return newLog(zapcore.AddSync(log), l.logLevel).With(zap.String("node", nodeName))
}
