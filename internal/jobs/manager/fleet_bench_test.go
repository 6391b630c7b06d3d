package manager

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/jobs/scheduler"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
	"puffinlink.example/puffinlink/internal/transport"
)

const (
	fleetSizeVariable      = "PUFFINLINK_TEST_FLEET" // number of workers that the test binary emulates when it runs as a separate process
	fleetService           = "s"
	fleetTaskTime          = time.Second            // duration of each task
	fleetMaxLease          = 6 * time.Second        // longest lease that a worker accepts
	fleetWarmUp            = 9 * time.Second        // time until all workers have a lease
	fleetMeasureTime       = 8 * time.Second        // duration of the measurement
	submitInterval         = 50 * time.Millisecond  // time between two rounds of submissions
	fleetTasksPerJob       = 4                      // number of tasks of a job
	fleetInventoryInterval = time.Second            // time between two updates of the platform's list
	leadershipPollInterval = 100 * time.Millisecond // time between two checks whether the node leads
)

// serveFleet emulates workers until its standard input ends. It writes the list of the workers to its standard output.
func serveFleet(count int) {
	workers := cluster.New(cluster.RealClock{}, cluster.Settings{MaxLease: fleetMaxLease, TaskProfile: func(job.TaskID, string) cluster.Profile {
		return cluster.Profile{Duration: fleetTaskTime, Resources: fleetTaskResources}
	}})
	instances := make([]workerclient.Instance, 0, count)
	for i := range count {
		id := fmt.Sprintf("i-%05d", i)
		capacity := job.Resources{Processors: 32000, MemoryMB: 65536}
		worker := workers.AddWorker(cluster.WorkerConfig{ID: id, Service: fleetService, Capacity: capacity})
		instances = append(instances, workerclient.Instance{ID: workerclient.WorkerID(id), Service: fleetService, Address: worker.Address(),
			Slots: 8, Capacity: capacity, Labels: []string{"a", fmt.Sprint("r", i/8)}})
	}
	json.NewEncoder(os.Stdout).Encode(instances)
	bufio.NewReader(os.Stdin).ReadByte()
}

var fleetTaskResources = job.Resources{Processors: 3000, MemoryMB: 6000}

// startFleet emulates workers in a separate process, so that their processor time does not count as the leader's.
func startFleet(b *testing.B, count int) []workerclient.Instance {
	b.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), fleetSizeVariable+"="+strconv.Itoa(count))
	input, err := command.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := command.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { input.Close(); command.Wait() })
	var instances []workerclient.Instance
	if err := json.NewDecoder(output).Decode(&instances); err != nil {
		b.Fatal(err)
	}
	return instances
}

// startLeader starts a group with a single replica and waits until it leads.
func startLeader(b *testing.B, instances []workerclient.Instance) *Manager {
	b.Helper()
	const self = "127.0.0.1:1"
	connections := workerclient.NewConnections(workerclient.Limits{
		Connections: 2700, DialsPerSecond: 544, DialBurst: 256, PollsPerSecond: 600, MaxLongPolls: 600,
	})
	m := New(Config{
		Settings: scheduler.Settings{RemoteSlowdown: 1.5, MaxLease: fleetMaxLease, StatusRetention: 5 * time.Minute},
		HTTP:     connections.HTTPClient(), Connections: connections, Log: zap.NewNop(),
	})
	node, err := replication.NewNode(replication.Config{
		Self: self, Store: storage.NewMemory(), Caller: transport.NewClient(), Handler: m,
		View:  func() replicaset.View { return replicaset.View{Version: 1, Members: []string{self}} },
		Ready: func() bool { return true }, Timing: replication.DefaultTiming,
	})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { node.Run(ctx); close(stopped) }()
	b.Cleanup(func() { cancel(); <-stopped; m.Stop() })
	node.Ensure(feed.GroupOf(fleetService))
	for leading, _ := m.Leading(); !leading; leading, _ = m.Leading() {
		time.Sleep(leadershipPollInterval)
	}
	go func() {
		for ctx.Err() == nil {
			m.SetInventory(instances)
			time.Sleep(fleetInventoryInterval)
		}
	}()
	return m
}

// BenchmarkFleet measures the share of a processor core that a leader uses for a service with many workers. Run it with
// -benchtime=1x.
func BenchmarkFleet(b *testing.B) {
	for _, load := range []struct{ workers, tasksPerSecond int }{{250, 0}, {2100, 0}, {250, 160}, {2100, 160}, {2100, 640}, {2100, 960}} {
		b.Run(fmt.Sprintf("%d workers, %d tasks a second", load.workers, load.tasksPerSecond), func(b *testing.B) {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			m := startLeader(b, startFleet(b, load.workers))
			for b.Loop() {
				measureFleet(b, m, load.tasksPerSecond)
			}
		})
	}
}

func measureFleet(b *testing.B, m *Manager, tasksPerSecond int) {
	b.Helper()
	jobNumber := 0
	load := func(span time.Duration) {
		begin := time.Now()
		for submitted := 0.0; time.Since(begin) < span; time.Sleep(submitInterval) {
			for ; submitted < time.Since(begin).Seconds()*float64(tasksPerSecond); submitted += fleetTasksPerJob {
				jobNumber++
				submitFleetJob(m, jobNumber)
			}
		}
	}
	load(fleetWarmUp)
	before, began, opened := processorTime(), time.Now(), m.config.Connections.Usage().TotalOpened
	load(fleetMeasureTime)
	b.ReportMetric(100*(processorTime()-before).Seconds()/time.Since(began).Seconds(), "%core")
	b.ReportMetric(float64(m.config.Connections.Usage().Open), "connections")
	b.ReportMetric(float64(m.config.Connections.Usage().TotalOpened-opened)/time.Since(began).Seconds(), "opened/s")
	leadership, err := m.leadershipOf(feed.GroupOf(fleetService))
	if err != nil {
		b.Fatal(err)
	}
	leadership.mu.Lock()
	defer leadership.mu.Unlock()
	summary := leadership.scheduler.Summary()
	b.ReportMetric(float64(summary.ReachableWorkers), "reachable")
	b.ReportMetric(float64(summary.Ended), "ended")
}

func submitFleetJob(m *Manager, jobNumber int) {
	request := jobapi.SubmitRequest{Group: feed.GroupOf(fleetService), ID: job.ID(fmt.Sprintf("%016x", jobNumber)),
		Queue: jobapi.Queue{Route: "r", MaxAttempts: 3, TargetLatencyMS: 250, Extension: 2},
		Specification: job.Specification{Text: "text", Stages: []job.Stage{
			{Count: fleetTasksPerJob, EstimatedDurationMS: fleetTaskTime.Milliseconds(), Resources: fleetTaskResources},
		}}}
	go m.submit(context.Background(), request)
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func TestMain(m *testing.M) {
	if count, err := strconv.Atoi(os.Getenv(fleetSizeVariable)); err == nil {
		serveFleet(count)
		return
	}
	os.Exit(m.Run())
}
