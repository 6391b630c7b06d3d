// Package cluster runs the whole cluster scheduler on the loopback addresses of one machine: three core machines, two
// front machines, stand-in workers and a stand-in platform. It hands in jobs, kills a worker and the leader of a
// service's jobs on the way, and counts what became of the jobs.
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
	startTimeout      = 20 * time.Second // for the system to serve
	completionTimeout = 30 * time.Second // for the jobs to end after the load
	restartDelay      = 2 * time.Second  // until a killed coordinator is started again
	pollInterval      = 200 * time.Millisecond
	stopTimeout       = 8 * time.Second // for a process to stop in order
)

// Options say what the demo does.
type Options struct {
	For           time.Duration // of the load
	Every         time.Duration // between two lines of progress
	Workers       int           // of each service
	JobsPerSecond float64       // jobs handed in a second
	Directory     string        // for settings files and the coordinators' disks; it must be empty
	Launcher      Launcher
	Out           io.Writer // for the lines of progress
	Log           io.Writer // for the logs of the processes
}

// Process is a process of the system, or what acts as one.
type Process struct {
	Kill  func()          // ends it at once
	Stop  func()          // tells it to stop in order
	Ended <-chan struct{} // closed once it has ended
}

// Launcher starts processes by their settings files.
type Launcher struct {
	Coordinator func(settingsFile string, log io.Writer) (*Process, error)
	// Front starts the proxy and the agent of one front machine; they meet at the local address.
	Front func(settingsFile, localAddress string, log io.Writer) (*Process, error)
}

// Validate tells what is wrong with the options.
func (o *Options) Validate() error {
	switch {
	case o.For <= 0 || o.Every <= 0:
		return invalid("times must be above 0; give --for and --every as in 20s")
	case o.Workers < 2 || o.Workers > 64:
		return invalid("%d searchers: give 2 to 64, as one is killed on the way", o.Workers)
	case o.JobsPerSecond <= 0 || o.JobsPerSecond > 200:
		return invalid("%g jobs a second: give more than 0 and at most 200", o.JobsPerSecond)
	}
	return nil
}

// demo is one run.
type demo struct {
	options  Options
	began    time.Time
	site     *site
	cluster  *cluster.Cluster
	workers  []*cluster.Worker
	load     *load
	http     *http.Client
	printing sync.Mutex // held while a line is printed

	mutex        sync.Mutex
	coordinators []*machine
	fronts       []*machine
	faults       []string // that were played
	unexpected   []string // processes that ended by themselves
}

// machine is one machine's processes.
type machine struct {
	name     string
	process  *Process
	stopping bool // its end is expected
}

// Run plays the demo. An error means that it could not be played; what went wrong with jobs is in the Summary.
func Run(ctx context.Context, options Options) (Summary, error) {
	if err := options.Validate(); err != nil {
		return Summary{}, err
	}
	d := &demo{options: options, began: time.Now(), http: operatorclient.NewHTTPClient()}
	defer d.close()
	if err := d.start(ctx); err != nil {
		return Summary{}, err
	}
	loading, endLoad := context.WithTimeout(ctx, options.For)
	defer endLoad()
	running, stop := context.WithCancel(ctx)
	var watching, playing sync.WaitGroup
	watching.Go(func() { d.showProgress(running) })
	playing.Go(func() { d.injectFaults(ctx) })
	d.load.run(loading, ctx, options.JobsPerSecond)
	playing.Wait()
	settled := d.load.wait(ctx, completionTimeout)
	stop()
	watching.Wait()
	if ctx.Err() != nil {
		return Summary{}, errInterrupted
	}
	summary := d.summarize(settled)
	return summary, nil
}

// start starts all machines and puts the configuration in force.
func (d *demo) start(ctx context.Context) error {
	d.load = newLoad(d.http)
	d.startWorkers()
	var err error
	if d.site, err = newSite(d.options.Directory, d.cluster.AddPlatform(cluster.PlatformConfig{}).Address()); err != nil {
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
	d.load.targets = d.site.frontAddresses()
	d.printLine("started %d coordinators, %d fronts and %d searchers", coreMachines, frontMachines, len(d.workers))
	d.printLine("operators reach it at: %s", d.site.operatorFlags())
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.configure(starting); err != nil {
		return err
	}
	return d.awaitReadiness(starting)
}

func (d *demo) configure(ctx context.Context) error {
	request := operatorclient.Request{Method: http.MethodPut, Path: "/-/configuration", IfMatch: "0", Body: []byte(configurationText)}
	if _, err := d.operator().Do(ctx, request); err != nil {
		return fmt.Errorf("put the first configuration: %w", err)
	}
	d.printLine("configuration version 1 is in force")
	return nil
}

func (d *demo) operator() *operatorclient.Client {
	return &operatorclient.Client{Addresses: d.site.controlAddresses(), HTTP: d.http}
}

// awaitReadiness waits until both fronts ask for connections.
func (d *demo) awaitReadiness(ctx context.Context) error {
	for _, address := range d.site.readinessAddresses() {
		for !d.ready(ctx, address) {
			if !wait(ctx, pollInterval) {
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
	answer, err := d.http.Do(request)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// close ends all machines and stand-ins.
func (d *demo) close() {
	d.mutex.Lock()
	machines := append(append([]*machine{}, d.fronts...), d.coordinators...)
	for _, m := range machines {
		m.stopping = true
	}
	d.mutex.Unlock()
	var ending sync.WaitGroup
	for _, m := range machines {
		ending.Go(func() { m.process.end() })
	}
	ending.Wait()
	if d.cluster != nil {
		d.cluster.Close()
	}
	d.http.CloseIdleConnections()
}

// end stops a process in order, and kills it if that takes too long.
func (p *Process) end() {
	p.Stop()
	late := time.NewTimer(stopTimeout)
	defer late.Stop()
	select {
	case <-p.Ended:
	case <-late.C:
		p.Kill()
		<-p.Ended
	}
}

func (d *demo) printLine(format string, arguments ...any) {
	d.printing.Lock()
	defer d.printing.Unlock()
	fmt.Fprintf(d.options.Out, "%5.1fs  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// showProgress prints a line now and then.
func (d *demo) showProgress(ctx context.Context) {
	for wait(ctx, d.options.Every) {
		counts := d.load.counts()
		d.printLine("jobs handed in %d, accepted %d, ended %d; runs started %d, under way %d", counts.submitted, counts.accepted, counts.ended,
			len(d.cluster.Attempts()), runningCount(d.cluster.Attempts()))
	}
}

// wait waits and tells whether the context is still going on.
func wait(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func pick[T any](list []T) T { return list[rand.IntN(len(list))] }
