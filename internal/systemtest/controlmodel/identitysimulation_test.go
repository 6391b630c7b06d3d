package controlmodel

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

const (
	identityFaultPhase  = 12 * time.Second // in which faults begin
	maxIdentityFaults   = 20
	leaderReplacedTime  = 1500 * time.Millisecond // for which calls count as beside a change of leaders
	shortestPause       = 300 * time.Millisecond
	longestPause        = 3500 * time.Millisecond
	outageOfAllMachines = 300 * time.Millisecond
	stopTime            = time.Second // for a stop to reach its worker and take effect

	disturbedMessageRate = 0.15 // share of messages that are lost, and that are delayed, while answers are lost
	duplicatingSeedStep  = 2    // the network duplicates messages in one schedule of so many
)

// disruption is what goes wrong while a client calls.
type disruption string

const (
	undisturbed       disruption = "none"
	frontPaused       disruption = "front paused"
	frontCutOff       disruption = "front cut off"
	frontRestarted    disruption = "front restarted"
	leaderPaused      disruption = "leader paused"
	leaderReplaced    disruption = "leader replaced"
	coreCutOff        disruption = "core machine cut off"
	coreWithoutPower  disruption = "core without power"
	answersLost       disruption = "answers lost"
	slowDiskOfMachine disruption = "slow disk"
)

// identityDisruptions are all disruptions, in the order of the table.
var identityDisruptions = []disruption{
	undisturbed, frontPaused, frontCutOff, frontRestarted, leaderPaused, leaderReplaced, coreCutOff, coreWithoutPower, answersLost, slowDiskOfMachine,
}

// newIdentitySimulation returns a simulation with proxies beside the agents, in which queues move between two services.
func newIdentitySimulation(seed uint64) *simulation {
	s := newSimulation(seed)
	s.judge, s.pairs, s.activeDisruptions = newIdentityJudge(), newPairCounts(), map[disruption]int{}
	s.judge.networkDuplicates = seed%duplicatingSeedStep == 0
	s.queueOperator = newQueueOperator(s)
	s.workerServices = map[string]string{}
	s.workerInstances = nil
	for _, service := range identityServices {
		for i := range workerCount {
			worker := s.workers.AddWorker(cluster.WorkerConfig{ID: fmt.Sprintf("%s-%d", service, i), Service: service, Capacity: job.Resources{Processors: 40_000}, Slots: 80})
			s.workerServices[worker.ID()] = service
			s.workerInstances = append(s.workerInstances, workerclient.Instance{
				ID: workerclient.WorkerID(worker.ID()), Address: worker.Address(), Service: service, Slots: 80, Capacity: job.Resources{Processors: 40_000},
			})
		}
	}
	return s
}

// runIdentity runs the simulation to its end and returns the violations.
func (s *simulation) runIdentity() []string {
	s.clientMachine = &machine{simulation: s, address: "outside", isUp: true}
	for _, m := range s.cores {
		m.startCoordinator()
	}
	for _, m := range s.agents {
		m.startFront()
	}
	ctx, stop := context.WithCancel(context.Background())
	<-time.After(startPhase)
	s.queueOperator.apply(ctx, allQueues(func(number int) string { return identityServices[number%len(identityServices)] }))
	s.actors.Go(func() { s.queueOperator.run(ctx) })
	for i := range identityClientCount {
		random := rand.New(rand.NewPCG(s.seed, uint64(identityClientSalt+i)))
		s.actors.Go(func() { (&identityClient{simulation: s, random: random, number: i}).run(ctx) })
	}
	s.scheduleDisruptions()
	s.pendingFaults.Wait()
	calmSince := time.Now()
	<-time.After(recoveryPhase)
	stop()
	s.actors.Wait()
	s.queueOperator.apply(context.Background(), allQueues(func(int) string { return identityServices[0] }))
	s.readAcceptedJobs()
	s.countPendingJobs()
	<-time.After(time.Until(calmSince.Add(cancelTime + 2*stopTime)))
	seen := observation{s.workers.Attempts(), s.workerServices, s.queueOperator.routedThroughout, calmSince, time.Now()}
	for _, m := range append(s.agents, s.cores...) {
		m.kill()
	}
	s.frontCalls.Wait()
	violations := s.judge.judge(seen)
	for i, violation := range violations {
		path, _, _ := strings.Cut(violation, ":")
		violations[i] += "\n" + s.judge.history(path, seen.attempts)
	}
	s.checker.checkAttempts(s.workers.Attempts())
	s.workers.Close()
	<-time.After(completionTimeout) // until calls without an answer have ended
	return append(violations, s.checker.violations...)
}

// readAcceptedJobs asks for each job that was accepted and not cancelled, until it is shown. Jobs that another queue hides are not asked
// for.
func (s *simulation) readAcceptedJobs() {
	reader := s.finalReader()
	for _, accepted := range s.judge.acceptedJobs() {
		if queue, _ := s.queueOperator.assignment.queueOfPath(accepted.path); queue != accepted.prefix {
			continue
		}
		if !untilOK(func() int { return reader.call(context.Background(), http.MethodGet, accepted) }) {
			s.checker.failf("%s: an accepted job is not shown at the end", accepted.path)
		}
	}
}

// countPendingJobs asks for the number of pending jobs of each queue, until it comes.
func (s *simulation) countPendingJobs() {
	reader := s.finalReader()
	for _, prefix := range identityPrefixes {
		if !untilOK(func() int { return reader.countPending(context.Background(), prefix) }) {
			s.checker.failf("%s: the number of pending jobs does not come at the end", prefix)
		}
	}
}

// finalReader returns a client that asks at the end.
func (s *simulation) finalReader() *identityClient {
	return &identityClient{simulation: s, random: rand.New(rand.NewPCG(s.seed, identityClientSalt-1))}
}

// untilOK repeats a call until its status is 200. It returns false if that takes too long.
func untilOK(call func() int) bool {
	for range finalReadTries {
		if call() == http.StatusOK {
			return true
		}
		<-time.After(finalReadPause)
	}
	return false
}

// identityFault is a fault of a schedule of moving queues. Its run lasts as long as the fault.
type identityFault struct {
	disruption disruption
	run        func(s *simulation, random *rand.Rand, length time.Duration)
}

// Faults are drawn at random. What lasts shortly or concerns few calls is listed twice.
var (
	frontFaults = []identityFault{
		{frontPaused, (*simulation).pauseFront}, {frontPaused, (*simulation).pauseFront},
		{frontCutOff, (*simulation).cutOffFront},
		{frontRestarted, (*simulation).restartFront}, {frontRestarted, (*simulation).restartFront},
	}
	otherFaults = []identityFault{
		{leaderPaused, (*simulation).pauseLeader},
		{leaderReplaced, (*simulation).replaceLeader},
		{coreCutOff, (*simulation).cutOffCore},
		{coreWithoutPower, (*simulation).restartCore},
		{answersLost, (*simulation).loseAnswers}, {answersLost, (*simulation).loseAnswers},
		{slowDiskOfMachine, (*simulation).slowDisk},
	}
)

func (s *simulation) pauseFront(random *rand.Rand, length time.Duration) {
	s.pauseFor(s.randomFront(random), length)
}

// cutOffFront cuts a front off from all other machines, in one direction or both, for longer than a configuration counts as current.
func (s *simulation) cutOffFront(random *rand.Rand, length time.Duration) {
	defer s.partition(s.randomFront(random), append(slices.Clone(s.cores), s.agents...), true, random.IntN(2) == 0)()
	<-time.After(feedAge + length)
}

func (s *simulation) restartFront(random *rand.Rand, length time.Duration) {
	front := s.randomFront(random)
	front.kill()
	<-time.After(min(length, outageOfAllMachines))
	front.startFront()
	<-time.After(length)
}

func (s *simulation) pauseLeader(random *rand.Rand, length time.Duration) {
	s.pauseFor(s.leaderOf(randomService(random)), length)
}

func (s *simulation) replaceLeader(random *rand.Rand, length time.Duration) {
	leader := s.leaderOf(randomService(random))
	if leader == nil {
		return
	}
	leader.kill()
	<-time.After(min(length, leaderReplacedTime))
	leader.startCoordinator()
	<-time.After(leaderReplacedTime)
}

func (s *simulation) cutOffCore(random *rand.Rand, length time.Duration) {
	core := s.cores[random.IntN(len(s.cores))]
	defer s.partition(core, s.cores, true, random.IntN(2) == 0)()
	<-time.After(length)
}

// restartCore takes the power from all coordinators at once.
func (s *simulation) restartCore(*rand.Rand, time.Duration) {
	for _, m := range s.cores {
		m.kill()
	}
	<-time.After(outageOfAllMachines)
	for _, m := range s.cores {
		m.startCoordinator()
	}
	<-time.After(leaderReplacedTime)
}

func (s *simulation) loseAnswers(_ *rand.Rand, length time.Duration) {
	s.network.update(func(n *network) {
		n.lossRate, n.delayRate = disturbedMessageRate, disturbedMessageRate
		if s.judge.networkDuplicates {
			n.duplicationRate = disturbedMessageRate
		}
	})
	<-time.After(length)
	s.network.update(func(n *network) { n.lossRate, n.duplicationRate, n.delayRate = 0, 0, 0 })
}

func (s *simulation) slowDisk(random *rand.Rand, length time.Duration) {
	core := s.cores[random.IntN(len(s.cores))]
	core.setWriteDelay(length / 8)
	<-time.After(length)
	core.setWriteDelay(0)
}

func (s *simulation) randomFront(random *rand.Rand) *machine {
	return s.agents[random.IntN(len(s.agents))]
}

func randomService(random *rand.Rand) string {
	return identityServices[random.IntN(len(identityServices))]
}

// leaderOf returns the coordinator that leads a service according to a running coordinator; nil if there is none.
func (s *simulation) leaderOf(service string) *machine {
	for _, m := range s.cores {
		if m.running() {
			return s.network.machineAt(m.node.Leaders()[feed.GroupOf(service)].Address)
		}
	}
	return nil
}

func (s *simulation) pauseFor(m *machine, length time.Duration) {
	if m == nil {
		return
	}
	m.pause(length)
	<-time.After(length)
}

// scheduleDisruptions schedules random faults: one after another, or in one schedule of two those of fronts beside all others. No two faults of a
// machine overlap, so that each kills or pauses a machine that runs.
func (s *simulation) scheduleDisruptions() {
	if s.seed/duplicatingSeedStep%2 == 0 {
		s.pendingFaults.Go(func() { s.runFaults(s.random, append(slices.Clone(frontFaults), otherFaults...)) })
		return
	}
	for number, faults := range [][]identityFault{frontFaults, otherFaults} {
		random := rand.New(rand.NewPCG(s.seed, uint64(identityFaultSalt+number)))
		s.pendingFaults.Go(func() { s.runFaults(random, faults) })
	}
}

// runFaults runs random faults one after another.
func (s *simulation) runFaults(random *rand.Rand, faults []identityFault) {
	end := time.Now().Add(identityFaultPhase)
	for number := 0; number < maxIdentityFaults && time.Now().Before(end); number++ {
		<-time.After(time.Duration(random.Int64N(int64(shortestPause))))
		fault := faults[random.IntN(len(faults))]
		length := shortestPause + time.Duration(random.Int64N(int64(longestPause-shortestPause)))
		s.setDisruption(fault.disruption, 1, fmt.Sprintf("at %v %s for %v", time.Since(s.startedAt), fault.disruption, length))
		fault.run(s, random, length)
		s.setDisruption(fault.disruption, -1, "")
	}
}

// setDisruption records that a disruption begins or ends, with its description for the schedule.
func (s *simulation) setDisruption(kind disruption, change int, description string) {
	s.disruptionMutex.Lock()
	defer s.disruptionMutex.Unlock()
	s.activeDisruptions[kind] += change
	if description != "" {
		s.schedule = append(s.schedule, description)
	}
}

// disruptions returns what goes wrong at the moment.
func (s *simulation) disruptions() []disruption {
	s.disruptionMutex.Lock()
	defer s.disruptionMutex.Unlock()
	var active []disruption
	for _, kind := range identityDisruptions {
		if s.activeDisruptions[kind] > 0 {
			active = append(active, kind)
		}
	}
	if len(active) == 0 {
		return []disruption{undisturbed}
	}
	return active
}
