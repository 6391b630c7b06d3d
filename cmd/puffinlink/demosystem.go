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

// systemDemoDuration is how long the load of the demo lasts where it is not stated.
const systemDemoDuration = 20 * time.Second

// errDemoFailed is the end of a demo in which something was lost, doubled or not played.
var errDemoFailed = errors.New("the demo did not end as it should: see the counts above")

// runSystem runs the demo of the cluster scheduler.
func (c *demoCommand) runSystem(ctx context.Context) (err error) {
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
		For: c.For, Every: c.Every, Workers: c.Backends, PerS: c.JobsPerS, Directory: directory, Out: stdout, Log: log,
		Launcher: launcher{c.LogLevel}.functions(),
	}
	if options.For == 0 {
		options.For = systemDemoDuration
	}
	if c.JSON {
		options.Out = io.Discard
	}
	summary, err := cluster.Run(ctx, options)
	if err != nil {
		return err
	}
	if err := printSystemSummary(&summary, c.JSON); err != nil {
		return err
	}
	if !summary.Good() {
		return errDemoFailed
	}
	return nil
}

func printSystemSummary(summary *cluster.Summary, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(stdout).Encode(summary)
	}
	summary.Print(stdout)
	return nil
}

// workDirectory is the directory that was named, or one that is removed at the end.
func (c *demoCommand) workDirectory() (directory string, remove func(), err error) {
	if c.Directory != "" {
		entries, err := os.ReadDir(c.Directory)
		if err == nil && len(entries) > 0 {
			err = usageErrorf("--directory %s is not empty: name an empty one, or none", c.Directory)
		}
		return c.Directory, func() {}, err
	}
	directory, err = os.MkdirTemp("", "puffinlink-demo-")
	// What a process that was killed still writes may be left in the system's directory for what is passing: nothing depends on it.
	return directory, func() { _ = os.RemoveAll(directory) }, err
}

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

// launcher starts the processes of the demo.
type launcher struct{ logLevel string }

func (l launcher) functions() cluster.Launcher {
	return cluster.Launcher{Coordinator: l.startCoordinator, Front: l.startFront}
}

// startCoordinator starts a coordinator as a process of its own, so that it can be killed.
func (l launcher) startCoordinator(settingsFile string, log io.Writer) (*cluster.Process, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	command := exec.Command(program, "coordinator", "--log-level", l.logLevel)
	command.Env = append(os.Environ(), nodesettings.PathVariable+"="+settingsFile)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL} // an interrupt at the terminal reaches the demo alone
	if err := command.Start(); err != nil {
		return nil, err
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = command.Wait() // the demo kills processes: how one ended is in its log
	}()
	return &cluster.Process{
		// Both fail only where the process has ended already, which Ended tells.
		Kill:  func() { _ = command.Process.Kill() },
		Stop:  func() { _ = command.Process.Signal(syscall.SIGTERM) },
		Ended: ended,
	}, nil
}

// startFront runs the proxy and the agent of a front machine in this process.
func (l launcher) startFront(settingsFile, localAddress string, log io.Writer) (*cluster.Process, error) {
	settings, err := nodesettings.LoadFile(settingsFile)
	if err != nil {
		return nil, err
	}
	return l.startInside(settings, localAddress, log, runAgent, runProxy), nil
}

// startInside runs processes of one machine on goroutines.
func (l launcher) startInside(settings nodesettings.Settings, localAddress string, log io.Writer, runs ...func(context.Context, *systemNode) error) *cluster.Process {
	ctx, stop := context.WithCancel(context.Background())
	logger := l.newLog(settings.NodeName, log)
	var running sync.WaitGroup
	for _, run := range runs {
		changes := make(chan nodesettings.Settings)
		context.AfterFunc(ctx, func() { close(changes) })
		running.Go(func() {
			defer stop() // of the others too
			node := &systemNode{settings: settings, changes: changes, log: logger, local: localAddress}
			if err := run(ctx, node); err != nil {
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

func (l launcher) newLog(node string, log io.Writer) *zap.Logger {
	if log == io.Discard {
		return zap.NewNop()
	}
	return newLog(zapcore.AddSync(log), l.logLevel).With(zap.String("node", node))
}
