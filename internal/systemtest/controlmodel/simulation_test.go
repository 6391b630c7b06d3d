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

	startPhase        = 1200 * time.Millisecond // before the first fault
	faultPhase        = 2 * time.Second         // in which faults begin
	recoveryPhase     = 1500 * time.Millisecond // without faults, after the last fault has ended
	longestFault      = 3500 * time.Millisecond // duration of one fault
	shortestFault     = 300 * time.Millisecond
	completionTimeout = 10 * time.Second // for calls that are still in progress at the end
)

// simulation is a complete system with its actors and its fault schedule.
type simulation struct {
	seed            uint64
	startedAt       time.Time
	random          *rand.Rand // for the fault schedule
	network         *network
	membership      replicaset.View
	cores           []*machine
	agents          []*machine
	clientMachine   *machine // machine of the clients; it has no faults
	workers         *cluster.Cluster
	workerInstances []workerclient.Instance
	checker         *checker
	actors          sync.WaitGroup
	pendingFaults   sync.WaitGroup
	schedule        []string // description of the fault schedule

	// Only in simulations of moving queues.
	judge             *identityJudge
	queueOperator     *queueOperator
	pairs             *pairCounts
	workerServices    map[string]string // by worker ID
	frontCalls        sync.WaitGroup    // clients' requests at fronts
	disruptionMutex   sync.Mutex
	activeDisruptions map[disruption]int
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		seed: seed, startedAt: time.Now(), random: rand.New(rand.NewPCG(seed, 7)), network: newNetwork(seed), checker: newChecker(),
		membership: replicaset.View{Version: 1},
	}
	s.workers = cluster.New(cluster.RealClock{}, cluster.Settings{
		InMemory: true, MaxLease: maxLease, StopDuration: 200 * time.Millisecond,
		GangTimeout: gangTimeout,
		TaskProfile: taskProfile,
	})
	for i := range workerCount {
		worker := s.workers.AddWorker(cluster.WorkerConfig{
			ID: fmt.Sprintf("i-%d", i), Service: service, Capacity: job.Resources{Processors: 4000}, Slots: 8,
		})
		s.workerInstances = append(s.workerInstances, workerclient.Instance{
			ID: workerclient.WorkerID(worker.ID()), Address: worker.Address(), Service: service, Slots: 8,
			Capacity: job.Resources{Processors: 4000},
		})
	}
	for i := range coreCount {
		s.membership.Members = append(s.membership.Members, fmt.Sprintf("core-%d:7000", i))
	}
	for _, address := range s.membership.Members {
		s.cores = append(s.cores, s.addMachine(address))
	}
	for i := range agentCount {
		s.agents = append(s.agents, s.addMachine(fmt.Sprintf("agent-%d:7001", i)))
	}
	return s
}

// taskProfile returns how a task of a specification behaves.
func taskProfile(task job.TaskID, specification string) cluster.Profile {
	profile := cluster.Profile{
		Resources: job.Resources{Processors: 500}, Duration: time.Duration(100+100*(len(task.Job)+task.Index)%1200) * time.Millisecond,
	}
	switch specification {
	case lastingSpecification:
		profile.Duration = 0
	case gangSpecification:
		profile.GangSize = gangSize
	}
	return profile
}

// run runs the simulation to its end and returns the violations.
func (s *simulation) run() []string {
	s.startAll()
	ctx, stop := context.WithCancel(context.Background())
	s.startActors(ctx)
	<-time.After(startPhase)
	s.scheduleFaults()
	s.pendingFaults.Wait()
	s.network.update(func(n *network) { n.lossRate, n.duplicationRate, n.delayRate = 0, 0, 0 })
	<-time.After(recoveryPhase)
	stop()
	s.actors.Wait()
	s.checkFinalState()
	return s.checker.violations
}

// checkFinalState checks the final state after all faults have ended, and stops the system.
func (s *simulation) checkFinalState() {
	s.checker.checkAttempts(s.workers.Attempts())
	ctx, cancel := context.WithTimeout(context.Background(), completionTimeout)
	defer cancel()
	value, err := s.cores[0].register.Read(ctx)
	if err == nil {
		var state configuration.State
		if state, err = configuration.DecodeState(value); err == nil {
			s.checker.checkHistory(state)
		}
	}
	if err != nil {
		s.checker.failf("the configuration cannot be read at the end: %v", err)
	}
	for _, m := range append(s.agents, s.cores...) {
		m.kill()
	}
	s.workers.Close()
	<-time.After(completionTimeout) // until calls without an answer have ended
	s.checker.checkLateCommands()
}

func (s *simulation) String() string { return strings.Join(s.schedule, "\n") }
