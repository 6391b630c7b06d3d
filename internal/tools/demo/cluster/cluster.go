// Package cluster demonstrates the cluster scheduler on the loopback addresses of one machine: real coordinators on three core
// machines, real proxies and agents on two front machines, fake workers and a fake platform. It submits jobs, kills a worker
// and the leader of a service's jobs while they run, and counts the jobs and tasks that were completed, lost or executed
// twice. The package does not schedule anything itself. The demo command calls it.
package cluster

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/operatorclient"
)

const (
	startTimeout      = 20 * time.Second       // maximum time until the system is ready
	completionTimeout = 30 * time.Second       // maximum time for the jobs to end after the load has stopped
	restartDelay      = 2 * time.Second        // time after which a killed coordinator is started again
	pollInterval      = 200 * time.Millisecond // between two checks for readiness or a leader
	stopTimeout       = 8 * time.Second        // maximum time for a process to shut down before it is killed
)

// Options configure the demo.
type Options struct {
	LoadDuration      time.Duration // time during which jobs are submitted
	ProgressInterval  time.Duration // time between two progress lines
	WorkersPerService int
	JobsPerSecond     float64
	Directory         string // for settings files and the coordinators' data; must be empty
	Launcher          Launcher
	Out               io.Writer // destination of the progress lines
	Log               io.Writer // destination of the processes' logs
}

// Process controls a process of the system. Tests may run its code in the test process instead.
type Process struct {
	Kill  func()          // ends the process at once
	Stop  func()          // requests an orderly shutdown and does not wait for it
	Ended <-chan struct{} // closed after the process has ended
}

// Launcher starts processes with their settings files.
type Launcher struct {
	Coordinator func(settingsFile string, log io.Writer) (*Process, error)
	// Front starts the proxy and the agent of one front machine. The proxy reaches the agent at localAddress.
	Front func(settingsFile, localAddress string, log io.Writer) (*Process, error)
}

// Validate returns an OptionsError if an option is invalid.
func (o *Options) Validate() error {
	switch {
	case o.LoadDuration <= 0 || o.ProgressInterval <= 0:
		return invalid("times must be above 0; give --for and --every as in 20s")
	case o.WorkersPerService < 2 || o.WorkersPerService > 64:
		return invalid("%d searchers: give 2 to 64, as one is killed on the way", o.WorkersPerService)
	case o.JobsPerSecond <= 0 || o.JobsPerSecond > 200:
		return invalid("%g jobs a second: give more than 0 and at most 200", o.JobsPerSecond)
	}
	return nil
}

// demo is the state of a running demo.
type demo struct {
	options   Options
	startedAt time.Time
	layout    *layout
	cluster   *cluster.Cluster
	workers   []*cluster.Worker
	load      *loadGenerator
	http      *http.Client
	printing  sync.Mutex // held while a line is printed

	mutex           sync.Mutex
	coordinators    []*machine
	fronts          []*machine
	injectedFaults  []string // descriptions of the faults so far
	unexpectedExits []string // names of processes that ended without being stopped
}

// machine represents the processes of one emulated machine.
type machine struct {
	name     string
	process  *Process
	stopping bool // the end of the process is expected
}

// Run runs the demo. It returns an error if the demo could not be run; lost and duplicated jobs are reported in the Summary.
func Run(ctx context.Context, options Options) (Summary, error) {
	if err := options.Validate(); err != nil {
		return Summary{}, err
	}
	d := &demo{options: options, startedAt: time.Now(), http: operatorclient.NewHTTPClient()}
	defer d.close()
	if err := d.start(ctx); err != nil {
		return Summary{}, err
	}
	loadContext, endLoad := context.WithTimeout(ctx, options.LoadDuration)
	defer endLoad()
	progressContext, stopProgress := context.WithCancel(ctx)
	var progress, faults sync.WaitGroup
	progress.Go(func() { d.showProgress(progressContext) })
	faults.Go(func() { d.injectFaults(ctx) })
	d.load.submitJobs(loadContext, ctx, options.JobsPerSecond)
	faults.Wait()
	allAnswered := d.load.waitForJobs(ctx, completionTimeout)
	stopProgress()
	progress.Wait()
	if ctx.Err() != nil {
		return Summary{}, errInterrupted
	}
	summary := d.summarize(allAnswered)
	return summary, nil
}

// start starts all machines, applies the first configuration and waits until both fronts are ready.
func (d *demo) start(ctx context.Context) error {
	d.load = newLoadGenerator(d.http)
	d.startWorkers()
	var err error
	if d.layout, err = newLayout(d.options.Directory, d.cluster.AddPlatform(cluster.PlatformConfig{}).Address()); err != nil {
		return err
	}
	for number := range coreMachines {
		if err := d.startCoordinator(number); err != nil {
			return err
		}
	}
	for number := range frontMachines {
		if err := d.startFront(number); err != nil {
			return err
		}
	}
	d.load.targets = d.layout.frontAddresses()
	d.printLine("started %d coordinators, %d fronts and %d searchers", coreMachines, frontMachines, len(d.workers))
	d.printLine("operators reach it at: %s", d.layout.operatorFlags())
	startContext, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.configure(startContext); err != nil {
		return err
	}
	return d.awaitReadiness(startContext)
}

// configure stores the first version of the configuration.
func (d *demo) configure(ctx context.Context) error {
	request := operatorclient.Request{Method: http.MethodPut, Path: "/-/configuration", IfMatch: "0", Body: []byte(configurationText)}
	if _, err := d.operator().Do(ctx, request); err != nil {
		return fmt.Errorf("put the first configuration: %w", err)
	}
	d.printLine("configuration version 1 is in force")
	return nil
}

// operator returns a client for the operators' interface of the coordinators.
func (d *demo) operator() *operatorclient.Client {
	return &operatorclient.Client{Addresses: d.layout.controlAddresses(), HTTP: d.http}
}

// awaitReadiness waits until both fronts report that they are ready for connections.
func (d *demo) awaitReadiness(ctx context.Context) error {
	for _, address := range d.layout.readinessAddresses() {
		for !d.ready(ctx, address) {
			if !sleep(ctx, pollInterval) {
				return fmt.Errorf("front at %s is not ready: %w", address, context.Cause(ctx))
			}
		}
	}
	d.printLine("both fronts are ready")
	return nil
}

func (d *demo) ready(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/-/readiness", nil)
	if err != nil {
		return false
	}
	response, err := d.http.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close stops all machines and fakes.
func (d *demo) close() {
	d.mutex.Lock()
	machines := append(append([]*machine{}, d.fronts...), d.coordinators...)
	for _, stopped := range machines {
		stopped.stopping = true
	}
	d.mutex.Unlock()
	var stopping sync.WaitGroup
	for _, stopped := range machines {
		stopping.Go(func() { stopped.process.end() })
	}
	stopping.Wait()
	if d.cluster != nil {
		d.cluster.Close()
	}
	d.http.CloseIdleConnections()
}

// end shuts down a process, and kills it if that takes longer than stopTimeout.
func (p *Process) end() {
	p.Stop()
	timeout := time.NewTimer(stopTimeout)
	defer timeout.Stop()
	select {
	case <-p.Ended:
	case <-timeout.C:
		p.Kill()
		<-p.Ended
	}
}

func (d *demo) printLine(format string, arguments ...any) {
	d.printing.Lock()
	defer d.printing.Unlock()
	fmt.Fprintf(d.options.Out, "%5.1fs  %s\n", time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, arguments...))
}

// showProgress prints a progress line at every ProgressInterval until ctx ends.
func (d *demo) showProgress(ctx context.Context) {
	for sleep(ctx, d.options.ProgressInterval) {
		counts := d.load.counts()
		d.printLine("jobs handed in %d, accepted %d, ended %d; runs started %d, under way %d", counts.submitted, counts.accepted, counts.ended,
			len(d.cluster.Attempts()), countRunning(d.cluster.Attempts()))
	}
}

// sleep waits for the duration and returns true. It returns false if ctx ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// randomElement returns a random element of a list that is not empty.
func randomElement[T any](list []T) T { return list[rand.IntN(len(list))] }
