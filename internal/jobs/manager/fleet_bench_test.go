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
	fleetVariable          = "PUFFINLINK_TEST_FLEET" // how many workers the test binary emulates, as a process of its own
	fleetService           = "s"
	fleetTaskTime          = time.Second            // how long each task works
	fleetMaxLease          = 6 * time.Second        //
	fleetWarmUp            = 9 * time.Second        // until all workers have a lease
	fleetMeasureTime       = 8 * time.Second        // for which the processor time is measured
	submitInterval         = 50 * time.Millisecond  // between two submissions
	fleetTasksEach         = 4                      // of a job
	fleetInventoryInterval = time.Second            // between two lists of the platform
	leadershipPollInterval = 100 * time.Millisecond // between two checks for the leadership
)

// serveFleet emulates workers until its standard input ends; it prints their list.
func serveFleet(count int) {
	workers := cluster.New(cluster.RealClock{}, cluster.Settings{LeaseMax: fleetMaxLease, Describe: func(job.TaskID, string) cluster.Profile {
		return cluster.Profile{Duration: fleetTaskTime, Resources: fleetRequest}
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

var fleetRequest = job.Resources{Processors: 3000, MemoryMB: 6000}

// startFleet runs emulated workers in a process of their own, so that their processor time is not the leader's.
func startFleet(b *testing.B, count int) []workerclient.Instance {
	b.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), fleetVariable+"="+strconv.Itoa(count))
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

// startLeader makes a group of one replica that leads.
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

// BenchmarkFleet measures what share of a core a leader uses for a service of many workers. Run it with -benchtime=1x.
func BenchmarkFleet(b *testing.B) {
	for _, load := range []struct{ workers, tasksPerS int }{{250, 0}, {2100, 0}, {250, 160}, {2100, 160}, {2100, 640}, {2100, 960}} {
		b.Run(fmt.Sprintf("%d workers, %d tasks a second", load.workers, load.tasksPerS), func(b *testing.B) {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			m := startLeader(b, startFleet(b, load.workers))
			for b.Loop() {
				measureFleet(b, m, load.tasksPerS)
			}
		})
	}
}

func measureFleet(b *testing.B, m *Manager, tasksPerS int) {
	b.Helper()
	number := 0
	load := func(span time.Duration) {
		begin := time.Now()
		for submitted := 0.0; time.Since(begin) < span; time.Sleep(submitInterval) {
			for ; submitted < time.Since(begin).Seconds()*float64(tasksPerS); submitted += fleetTasksEach {
				number++
				submit(m, number)
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

func submit(m *Manager, number int) {
	request := jobapi.SubmitRequest{Group: feed.GroupOf(fleetService), ID: job.ID(fmt.Sprintf("%016x", number)),
		Queue: jobapi.Queue{Route: "r", MaxAttempts: 3, TargetLatencyMS: 250, Extension: 2},
		Specification: job.Specification{Text: "text", Stages: []job.Stage{
			{Count: fleetTasksEach, EstimatedDurationMS: fleetTaskTime.Milliseconds(), Resources: fleetRequest},
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
	if count, err := strconv.Atoi(os.Getenv(fleetVariable)); err == nil {
		serveFleet(count)
		return
	}
	os.Exit(m.Run())
}
