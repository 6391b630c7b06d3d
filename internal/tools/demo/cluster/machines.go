package cluster

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/go-json-experiment/json"

	"puffinlink.example/puffinlink/internal/controlplane/operations"
	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/operatorclient"
)

const (
	leaseMax           = 6 * time.Second
	workersPerRack     = 3
	workerFault        = 0.3 // when a worker is killed, as a share of the load's time
	leaderFault        = 0.55
	victimTimeout      = 2 * time.Second // for a worker to be at work
	victimPollInterval = 50 * time.Millisecond
	leaderTimeout      = 10 * time.Second // for the jobs of a service to have a leader
)

func (d *demo) startWorkers() {
	d.cluster = cluster.New(cluster.RealClock{}, cluster.Settings{
		MaxLease: leaseMax, GangTimeout: 3 * time.Second, StopDuration: 100 * time.Millisecond, CheckpointInterval: 500 * time.Millisecond,
		RestoreDuration: 100 * time.Millisecond, TaskProfile: d.load.profile,
	})
	for _, service := range services {
		for number := range d.options.Workers {
			d.workers = append(d.workers, d.cluster.AddWorker(cluster.WorkerConfig{
				ID: fmt.Sprintf("%s-%d", service, number), Service: service, Zone: "demo", Version: "v1", Slots: 8,
				Capacity: job.Resources{Processors: 8000, MemoryMB: 16000, Accelerators: 2},
				Labels:   []string{"standard", fmt.Sprintf("rack-%d", number/workersPerRack)}, EnforcesCapacity: true,
			}))
		}
	}
}

func (d *demo) startCoordinator(number int) error {
	file, err := d.site.writeCore(number, true)
	if err != nil {
		return err
	}
	m := &machine{name: fmt.Sprintf("core-%d", number)}
	if m.process, err = d.options.Launcher.Coordinator(file, d.options.Log); err != nil {
		return fmt.Errorf("start %s: %w", m.name, err)
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.coordinators = append(d.coordinators, m)
	go d.watch(m, m.process)
	return nil
}

func (d *demo) startFront(number int) error {
	file, err := d.site.writeFront(number)
	if err != nil {
		return err
	}
	m := &machine{name: fmt.Sprintf("front-%d", number)}
	if m.process, err = d.options.Launcher.Front(file, d.site.localAddress(number), d.options.Log); err != nil {
		return fmt.Errorf("start %s: %w", m.name, err)
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.fronts = append(d.fronts, m)
	go d.watch(m, m.process)
	return nil
}

// watch notes a process that ends by itself.
func (d *demo) watch(m *machine, process *Process) {
	<-process.Ended
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !m.stopping {
		d.unexpected = append(d.unexpected, m.name)
	}
}

// injectFaults kills a worker and later the leader of a service's jobs, which it starts again.
func (d *demo) injectFaults(ctx context.Context) {
	if !wait(ctx, time.Duration(workerFault*float64(d.options.For))) {
		return
	}
	d.killWorker(ctx)
	if !wait(ctx, time.Duration((leaderFault-workerFault)*float64(d.options.For))) {
		return
	}
	number, err := d.awaitLeader(ctx)
	if err != nil {
		d.printLine("no leader to kill: %v", err)
		return
	}
	d.killCoordinator(number)
	if wait(ctx, restartDelay) {
		d.restartCoordinator(number)
	}
}

// killWorker kills one that is at work, with all that runs there.
func (d *demo) killWorker(ctx context.Context) {
	waiting, cancel := context.WithTimeout(ctx, victimTimeout)
	defer cancel()
	victim, runs := d.busiest()
	for runs == 0 && wait(waiting, victimPollInterval) {
		victim, runs = d.busiest()
	}
	id := victim.ID()
	victim.Crash(id + "-again")
	d.recordFault("killed searcher %s with %d runs; it is back as %s", id, runs, victim.ID())
}

// busiest is the worker with the most runs under way.
func (d *demo) busiest() (victim *cluster.Worker, runs int) {
	busy := map[string]int{}
	for _, record := range d.cluster.Attempts() {
		if record.EndedAt.IsZero() {
			busy[record.Worker]++
		}
	}
	victim = d.workers[0]
	for _, worker := range d.workers {
		if busy[worker.ID()] > busy[victim.ID()] {
			victim = worker
		}
	}
	return victim, busy[victim.ID()]
}

// awaitLeader waits until the jobs of the first service have a leader.
func (d *demo) awaitLeader(ctx context.Context) (number int, err error) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	for {
		number, err = d.findLeader(ctx)
		if err == nil || !wait(ctx, pollInterval) {
			return number, err
		}
	}
}

// findLeader finds the coordinator that leads the jobs of the first service.
func (d *demo) findLeader(ctx context.Context) (number int, err error) {
	answer, err := d.operator().Do(ctx, operatorclient.Request{Method: http.MethodGet, Path: operations.StatusPath})
	if err != nil {
		return 0, err
	}
	var status operations.Status
	if err := json.Unmarshal(answer.Body, &status); err != nil {
		return 0, err
	}
	for _, group := range status.Groups {
		for number := range coreMachines {
			if group.Service == services[0] && group.Leader == d.site.at(coreHost(number), 0) {
				return number, nil
			}
		}
	}
	return 0, noLeaderError(services[0])
}

func (d *demo) killCoordinator(number int) {
	d.mutex.Lock()
	m := d.coordinators[number]
	m.stopping = true
	d.mutex.Unlock()
	m.process.Kill()
	<-m.process.Ended
	d.recordFault("killed coordinator %s, the leader of service %s", m.name, services[0])
}

func (d *demo) restartCoordinator(number int) {
	file, err := d.site.writeCore(number, false)
	var process *Process
	if err == nil {
		process, err = d.options.Launcher.Coordinator(file, d.options.Log)
	}
	if err != nil {
		d.printLine("coordinator core-%d does not start again: %v", number, err)
		return
	}
	d.mutex.Lock()
	m := d.coordinators[number]
	m.process, m.stopping = process, false
	d.mutex.Unlock()
	go d.watch(m, process)
	d.printLine("started %s again with its disk", m.name)
}

func (d *demo) recordFault(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	d.printLine("%s", text)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.faults = append(d.faults, text)
}

// runningCount counts the runs that have not ended.
func runningCount(records []cluster.AttemptRecord) int {
	return len(slices.DeleteFunc(records, func(record cluster.AttemptRecord) bool { return !record.EndedAt.IsZero() }))
}
