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
	maxLease           = 6 * time.Second // the longest lease of a task
	workersPerRack     = 3
	workerFaultTime    = 0.3                   // when a worker is killed, as a fraction of LoadDuration
	leaderFaultTime    = 0.55                  // when a leader is killed, as a fraction of LoadDuration
	victimTimeout      = 2 * time.Second       // maximum time to wait for a worker with a run
	victimPollInterval = 50 * time.Millisecond // between two searches for such a worker
	leaderTimeout      = 10 * time.Second      // maximum time to wait until the jobs of a service have a leader
)

// startWorkers starts the fake workers of all services.
func (d *demo) startWorkers() {
	d.cluster = cluster.New(cluster.RealClock{}, cluster.Settings{
		MaxLease: maxLease, GangTimeout: 3 * time.Second, StopDuration: 100 * time.Millisecond, CheckpointInterval: 500 * time.Millisecond,
		RestoreDuration: 100 * time.Millisecond, TaskProfile: d.load.taskProfile,
	})
	for _, service := range serviceNames {
		for number := range d.options.WorkersPerService {
			d.workers = append(d.workers, d.cluster.AddWorker(cluster.WorkerConfig{
				ID: fmt.Sprintf("%s-%d", service, number), Service: service, Zone: "demo", Version: "v1", Slots: 8,
				Capacity: job.Resources{Processors: 8000, MemoryMB: 16000, Accelerators: 2},
				Labels:   []string{"standard", fmt.Sprintf("rack-%d", number/workersPerRack)}, EnforcesCapacity: true,
			}))
		}
	}
}

// startCoordinator starts the coordinator of a core machine for the first time.
func (d *demo) startCoordinator(number int) error {
	file, err := d.layout.writeCoordinatorSettings(number, true)
	if err != nil {
		return err
	}
	coordinator := &machine{name: fmt.Sprintf("core-%d", number)}
	if coordinator.process, err = d.options.Launcher.Coordinator(file, d.options.Log); err != nil {
		return fmt.Errorf("start %s: %w", coordinator.name, err)
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.coordinators = append(d.coordinators, coordinator)
	go d.recordUnexpectedExit(coordinator, coordinator.process)
	return nil
}

// startFront starts the processes of a front machine.
func (d *demo) startFront(number int) error {
	file, err := d.layout.writeFrontSettings(number)
	if err != nil {
		return err
	}
	front := &machine{name: fmt.Sprintf("front-%d", number)}
	if front.process, err = d.options.Launcher.Front(file, d.layout.localAddress(number), d.options.Log); err != nil {
		return fmt.Errorf("start %s: %w", front.name, err)
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.fronts = append(d.fronts, front)
	go d.recordUnexpectedExit(front, front.process)
	return nil
}

// recordUnexpectedExit waits for the end of a process, and records it if the process was not stopped on purpose.
func (d *demo) recordUnexpectedExit(watched *machine, process *Process) {
	<-process.Ended
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !watched.stopping {
		d.unexpectedExits = append(d.unexpectedExits, watched.name)
	}
}

// injectFaults kills a worker, and later the leader of a service's jobs. It restarts the leader after restartDelay.
func (d *demo) injectFaults(ctx context.Context) {
	if !sleep(ctx, time.Duration(workerFaultTime*float64(d.options.LoadDuration))) {
		return
	}
	d.killWorker(ctx)
	if !sleep(ctx, time.Duration((leaderFaultTime-workerFaultTime)*float64(d.options.LoadDuration))) {
		return
	}
	number, err := d.awaitLeader(ctx)
	if err != nil {
		d.printLine("no leader to kill: %v", err)
		return
	}
	d.killCoordinator(number)
	if sleep(ctx, restartDelay) {
		d.restartCoordinator(number)
	}
}

// killWorker kills the worker with the most runs, and its runs with it. If no worker has a run, it waits up to
// victimTimeout for one.
func (d *demo) killWorker(ctx context.Context) {
	victimContext, cancel := context.WithTimeout(ctx, victimTimeout)
	defer cancel()
	victim, runs := d.busiestWorker()
	for runs == 0 && sleep(victimContext, victimPollInterval) {
		victim, runs = d.busiestWorker()
	}
	id := victim.ID()
	victim.Crash(id + "-again")
	d.recordInjectedFault("killed searcher %s with %d runs; it is back as %s", id, runs, victim.ID())
}

// busiestWorker returns the worker with the most active runs, and their number.
func (d *demo) busiestWorker() (victim *cluster.Worker, runs int) {
	runsByWorker := map[string]int{}
	for _, record := range d.cluster.Attempts() {
		if record.EndedAt.IsZero() {
			runsByWorker[record.Worker]++
		}
	}
	victim = d.workers[0]
	for _, worker := range d.workers {
		if runsByWorker[worker.ID()] > runsByWorker[victim.ID()] {
			victim = worker
		}
	}
	return victim, runsByWorker[victim.ID()]
}

// awaitLeader waits until the jobs of the first service have a leader.
func (d *demo) awaitLeader(ctx context.Context) (number int, err error) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	for {
		number, err = d.findLeader(ctx)
		if err == nil || !sleep(ctx, pollInterval) {
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
			if group.Service == serviceNames[0] && group.Leader == d.layout.address(coreHost(number), 0) {
				return number, nil
			}
		}
	}
	return 0, noLeaderError(serviceNames[0])
}

// killCoordinator kills a coordinator and waits for its end.
func (d *demo) killCoordinator(number int) {
	d.mutex.Lock()
	coordinator := d.coordinators[number]
	coordinator.stopping = true
	d.mutex.Unlock()
	coordinator.process.Kill()
	<-coordinator.process.Ended
	d.recordInjectedFault("killed coordinator %s, the leader of service %s", coordinator.name, serviceNames[0])
}

// restartCoordinator starts a killed coordinator with its old data.
func (d *demo) restartCoordinator(number int) {
	file, err := d.layout.writeCoordinatorSettings(number, false)
	var process *Process
	if err == nil {
		process, err = d.options.Launcher.Coordinator(file, d.options.Log)
	}
	if err != nil {
		d.printLine("coordinator core-%d does not start again: %v", number, err)
		return
	}
	d.mutex.Lock()
	coordinator := d.coordinators[number]
	coordinator.process, coordinator.stopping = process, false
	d.mutex.Unlock()
	go d.recordUnexpectedExit(coordinator, process)
	d.printLine("started %s again with its disk", coordinator.name)
}

func (d *demo) recordInjectedFault(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	d.printLine("%s", text)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.injectedFaults = append(d.injectedFaults, text)
}

// countRunning counts the attempts that have not ended.
func countRunning(records []cluster.AttemptRecord) int {
	return len(slices.DeleteFunc(records, func(record cluster.AttemptRecord) bool { return !record.EndedAt.IsZero() }))
}
