package controlmodel

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

const (
	coreCount   = 3
	agentCount  = 2
	workerCount = 2

	settling  = 1200 * time.Millisecond // until the first troubles
	troubled  = 2 * time.Second         // until the last ones have begun
	healed    = 1500 * time.Millisecond // after that, without trouble
	longest   = 3500 * time.Millisecond // of one trouble
	shortest  = 300 * time.Millisecond
	finishing = 10 * time.Second // for what is under way
)

// world is the whole system.
type world struct {
	seed      uint64
	begin     time.Time
	random    *rand.Rand // of the schedule and of who asks whom
	network   *network
	view      replicaset.View
	cores     []*machine
	agents    []*machine
	outside   *machine // where clients are, whom nothing happens to
	workers   *cluster.Cluster
	instances []workerclient.Instance
	judge     *judge
	actors    sync.WaitGroup
	faults    sync.WaitGroup
	log       []string // of the schedule
}

func newWorld(seed uint64) *world {
	w := &world{
		seed: seed, begin: time.Now(), random: rand.New(rand.NewPCG(seed, 7)), network: newNetwork(seed), judge: newJudge(),
		view: replicaset.View{Version: 1},
	}
	w.workers = cluster.New(cluster.RealClock{}, cluster.Settings{
		InMemory: true, HoldMax: holdMax, StopTime: 200 * time.Millisecond,
		Describe: func(task job.TaskID, _ string) cluster.Profile {
			length := time.Duration(100+100*(len(task.Job)+task.Index)%1200) * time.Millisecond
			return cluster.Profile{Resources: job.Resources{Processors: 500}, Duration: length}
		},
	})
	for i := range workerCount {
		worker := w.workers.AddWorker(cluster.WorkerConfig{
			ID: fmt.Sprintf("i-%d", i), Service: service, Capacity: job.Resources{Processors: 4000}, Slots: 8,
		})
		w.instances = append(w.instances, workerclient.Instance{
			ID: workerclient.WorkerID(worker.ID()), Address: worker.Address(), Service: service, Slots: 8,
			Capacity: job.Resources{Processors: 4000},
		})
	}
	for i := range coreCount {
		w.view.Members = append(w.view.Members, fmt.Sprintf("core-%d:7000", i))
	}
	for _, address := range w.view.Members {
		w.cores = append(w.cores, w.add(address))
	}
	for i := range agentCount {
		w.agents = append(w.agents, w.add(fmt.Sprintf("agent-%d:7001", i)))
	}
	return w
}

// play runs a schedule from start to end, and returns what was broken.
func (w *world) play() []string {
	w.startAll()
	ctx, stop := context.WithCancel(context.Background())
	w.act(ctx)
	<-time.After(settling)
	w.fault()
	w.faults.Wait()
	w.network.set(func(n *network) { n.loss, n.double, n.late = 0, 0, 0 })
	<-time.After(healed)
	stop()
	w.actors.Wait()
	w.finish()
	return w.judge.broken
}

// finish judges what is left when all is calm, and ends the system.
func (w *world) finish() {
	w.judge.ran(w.workers.Runs())
	ctx, cancel := context.WithTimeout(context.Background(), finishing)
	defer cancel()
	value, err := w.cores[0].register.Read(ctx)
	if err == nil {
		var state configuration.State
		if state, err = configuration.DecodeState(value); err == nil {
			w.judge.history(state)
		}
	}
	if err != nil {
		w.judge.failf("the configuration cannot be read at the end: %v", err)
	}
	for _, m := range append(w.agents, w.cores...) {
		m.kill()
	}
	w.workers.Close()
	<-time.After(finishing) // calls that were lost have ended
	w.judge.lateOrders()
}

func (w *world) String() string { return strings.Join(w.log, "\n") }
