package systemtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/operations"
	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/jobs/job"
)

// The environment variables of the soak and their defaults.
const (
	soakSeedsVariable   = "PUFFINLINK_SOAK_SEEDS"   // number of seeds
	soakFirstVariable   = "PUFFINLINK_SOAK_FIRST"   // first seed
	soakLengthVariable  = "PUFFINLINK_SOAK_LENGTH"  // time with faults, as a duration
	soakSystemsVariable = "PUFFINLINK_SOAK_SYSTEMS" // systems that run concurrently
	soakFrontsVariable  = "PUFFINLINK_SOAK_FRONTS"  // front machines of a system, each with two processes

	defaultSoakSeeds   = 2
	defaultSoakFirst   = 1
	defaultSoakLength  = 15 * time.Second
	defaultSoakSystems = 2
	defaultSoakFronts  = 2
)

const (
	soakRecovery     = 3 * time.Minute // time after the faults within which all jobs must have ended
	soakLoadInterval = 5 * time.Second // time between the starts of two loads
	rebuildTime      = 6 * time.Second // time after the return of an erased disk until the next fault
	minFaultPause    = 50 * time.Millisecond
	maxFaultPause    = 1200 * time.Millisecond
	minOutage        = 100 * time.Millisecond
	maxOutage        = 4 * time.Second
	maxAddedRoutes   = 3

	lastingTasks          = 28                     // tasks of the job that runs for the whole soak
	lastingTaskProcessors = 50                     // thousandths of a core that a task of a small long-running job requests
	maxPlatformDelay      = 300 * time.Millisecond // of each call to the platform and of its answer, so that requests reach a new leader before its list
)

// soak injects faults of all kinds in a random series that overlap, while clients, operators and workers go on.
type soak struct {
	system  *system
	log     func(format string, values ...any)
	random  *rand.Rand
	loads   []func() int
	counts  map[string]int // faults by kind
	lasting []jobPlan      // long-running jobs that have not been cancelled
	change  sync.WaitGroup // the change of the configuration under way
	queues  *movingQueues
	clients *queueClients
}

// soakAction is one kind of fault, with its share among all.
type soakAction struct {
	name   string
	weight int
	run    func(ctx context.Context, k *soak)
}

// soakActions are the faults of a soak.
var soakActions = []soakAction{
	{"kill the leader", 3, func(ctx context.Context, k *soak) {
		k.system.crashMachine(ctx, k.system.leaderOf(k.service()), k.outage(), false)
	}},
	{"kill the leader beside cancellations", 3, func(ctx context.Context, k *soak) {
		k.system.crashMachine(ctx, k.system.leaderOf(guardedService), k.outage(), false)
		k.cancelLongRunning(ctx)
	}},
	{"kill a core machine", 2, func(ctx context.Context, k *soak) { k.system.crashMachine(ctx, k.coreMachine(), k.outage(), false) }},
	{"pause the leader", 2, func(ctx context.Context, k *soak) {
		k.system.pauseMachine(ctx, k.system.leaderOf(k.service()), k.outage())
	}},
	{"pause a core machine", 1, func(ctx context.Context, k *soak) { k.system.pauseMachine(ctx, k.coreMachine(), k.outage()) }},
	{"pause a front", 1, func(ctx context.Context, k *soak) { k.system.pauseMachine(ctx, k.front(), k.outage()) }},
	{"partition a core machine", 2, func(ctx context.Context, k *soak) {
		k.system.partitionFor(ctx, k.coreMachine(), k.outage(), k.random.IntN(2) == 0)
	}},
	{"kill a proxy", 1, func(ctx context.Context, k *soak) { k.system.crashProcess(ctx, k.front(), proxyRole, k.outage()) }},
	{"kill an agent", 1, func(ctx context.Context, k *soak) { k.system.crashProcess(ctx, k.front(), agentRole, k.outage()) }},
	{"restart a machine", 3, func(ctx context.Context, k *soak) {
		machines := k.system.machines()
		restarted := machines[k.random.IntN(len(machines))]
		k.system.recoveries.Go(func() { k.system.recordFailure(k.system.rollingRestart(ctx, []*machine{restarted})) })
	}},
	{"change the configuration", 2, func(ctx context.Context, k *soak) { k.changeConfiguration(ctx) }},
	{"move queues", 4, func(ctx context.Context, k *soak) {
		k.queues.change(k.random)
		k.changeConfiguration(ctx)
	}},
	{"crash a worker", 1, func(_ context.Context, k *soak) { k.system.crash(k.worker()) }},
	{"disturb a worker's calls", 2, func(ctx context.Context, k *soak) { k.disturbCalls(ctx) }},
	{"erase a disk", 1, func(ctx context.Context, k *soak) { k.eraseDisk(ctx) }},
}

func (k *soak) service() string {
	return []string{guardedService, unguardedService}[k.random.IntN(2)]
}

func (k *soak) coreMachine() *machine { return k.system.core[k.random.IntN(len(k.system.core))] }

func (k *soak) front() *machine { return k.system.fronts[k.random.IntN(len(k.system.fronts))] }

func (k *soak) worker() *worker { return k.system.workers[k.random.IntN(len(k.system.workers))] }

func (k *soak) outage() time.Duration {
	return minOutage + time.Duration(k.random.Int64N(int64(maxOutage-minOutage)))
}

// changeConfiguration adds some routes to the configuration and removes those of the change before, in the background. Changes do not
// overlap, as each is made on top of the one before.
func (k *soak) changeConfiguration(ctx context.Context) {
	k.change.Wait()
	first := k.random.IntN(len(k.system.core))
	routes := append([]routePlan{renderRoute, mailRoute}, k.queues.routes()...)
	for range k.random.IntN(maxAddedRoutes) {
		routes = append(routes, routePlan{fmt.Sprintf("/added-%d/", k.random.Uint32()), k.service()})
	}
	k.change.Go(func() {
		if !k.system.configurations.set(ctx, first, routes...) && ctx.Err() == nil {
			k.system.recordFailure(errChangeNotAcknowledged)
		}
	})
}

// cancelLongRunning cancels a long-running job in the background.
func (k *soak) cancelLongRunning(ctx context.Context) {
	if len(k.lasting) == 0 {
		return
	}
	plan := k.lasting[0]
	k.lasting = k.lasting[1:]
	cancelRandom := rand.New(rand.NewPCG(k.random.Uint64(), 6))
	k.system.recoveries.Go(func() { k.system.cancel(ctx, cancelRandom, plan.path()) })
}

// cancelLargeLongRunning cancels the long-running jobs of the loads, which may leave too little room on a worker for others. The small ones
// run on.
func (k *soak) cancelLargeLongRunning(ctx context.Context) {
	var all sync.WaitGroup
	for _, plan := range k.system.jobs {
		if plan.kind != longRunningJob || plan.body.Stages[0].Processors <= lastingTaskProcessors {
			continue
		}
		cancelRandom := rand.New(rand.NewPCG(k.random.Uint64(), 6))
		all.Go(func() { k.system.cancel(ctx, cancelRandom, plan.path()) })
	}
	all.Wait()
}

// replaceLeaders kills the leaders of both services a last time, while some long-running jobs are cancelled, and submits further jobs once the
// new leaders are in contact. What goes wrong in a takeover stays wrong from then on, as nobody takes over any more.
func (k *soak) replaceLeaders(ctx context.Context) {
	for _, service := range []string{guardedService, unguardedService} {
		k.system.crashMachine(ctx, k.system.leaderOf(service), minOutage, false)
	}
	for len(k.lasting) > 0 {
		k.cancelLongRunning(ctx)
	}
	k.system.recoveries.Wait()
	k.system.recordFailure(sleep(ctx, k.system.bounds().Contact))
	k.loads = append(k.loads, k.system.startLoad(ctx, k.random))
}

// disturbCalls makes a worker execute commands late, or not answer, for a while.
func (k *soak) disturbCalls(ctx context.Context) {
	disturbed, length := k.worker(), k.outage()
	faults := cluster.OnEveryCall(cluster.Fault{Kind: cluster.DropCall})
	if k.random.IntN(2) == 0 {
		faults = cluster.OnCallsOfKind(cluster.StartCall, cluster.Fault{Kind: cluster.DelayExecution, Delay: time.Second, LeaseFromExecution: true})
	}
	k.system.beginCallFaults(disturbed, faults)
	k.system.recoveries.Go(func() {
		_ = sleep(ctx, length) // the faults end with the test as well
		k.system.endCallFaults(disturbed)
	})
}

// eraseDisk kills a core machine and erases its disk, once all machines have recovered. No other fault begins until it is rebuilt, as
// the loss of one disk at a time is tolerated.
func (k *soak) eraseDisk(ctx context.Context) {
	k.system.recoveries.Wait()
	k.system.crashMachine(ctx, k.coreMachine(), minOutage, true)
	k.system.recoveries.Wait()
	k.system.recordFailure(sleep(ctx, rebuildTime))
}

// addJobs starts a further load, with jobs that fill the workers' windows, gangs that exceed them, and long-running jobs that are cancelled
// at any moment.
func (k *soak) addJobs(ctx context.Context) {
	k.loads = append(k.loads, k.system.startLoad(ctx, k.random))
	lasting, gang, cancelled := newJobPlan(k.random, longRunningJob, renderRoute), newJobPlan(k.random, gangJob, renderRoute), newJobPlan(k.random, cancelledJob, mailRoute)
	lasting.body.Stages[0].Count, lasting.body.Stages[0].Resources = 6+k.random.IntN(8), job.Resources{Processors: lastingTaskProcessors, MemoryMB: 10}
	gang.body.Stages[0].Count, gang.body.Stages[0].Resources = 8+k.random.IntN(14), job.Resources{Processors: 80, MemoryMB: 10}
	cancelled.body.Stages[0].LongRunning, cancelled.body.Stages[0].Checkpoints = true, false
	cancelled.cancelAfter = time.Duration(1+k.random.IntN(4000)) * time.Millisecond
	k.lasting = append(k.lasting, lasting)
	for _, plan := range []jobPlan{lasting, gang, cancelled} {
		k.addJob(ctx, plan)
	}
}

// addLastingJob submits a job that runs for the whole soak, with more tasks on each worker than a new leader's windows admit.
func (k *soak) addLastingJob(ctx context.Context) {
	plan := newJobPlan(k.random, longRunningJob, renderRoute)
	plan.body.Stages[0].Count, plan.body.Stages[0].Resources = lastingTasks, job.Resources{Processors: lastingTaskProcessors, MemoryMB: 10}
	k.addJob(ctx, plan)
}

// addJob submits a job in the background, as the load does.
func (k *soak) addJob(ctx context.Context, plan jobPlan) {
	k.system.jobs = append(k.system.jobs, plan)
	jobRandom := rand.New(rand.NewPCG(k.random.Uint64(), 4))
	accepted := make(chan int, 1)
	go func() {
		if k.system.runJob(ctx, jobRandom, plan) {
			accepted <- 1
			return
		}
		accepted <- 0
	}()
	k.loads = append(k.loads, func() int { return <-accepted })
}

// run injects faults for the given time, and waits until the loads have ended. It returns the number of jobs that were accepted.
func (k *soak) run(ctx context.Context, length time.Duration) (accepted int) {
	k.addLastingJob(ctx)
	k.changeConfiguration(ctx)
	clientsCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	k.clients.start(clientsCtx, k.random)
	nextLoad := time.Now()
	for end := time.Now().Add(length); time.Now().Before(end) && ctx.Err() == nil; {
		if !time.Now().Before(nextLoad) {
			k.addJobs(ctx)
			nextLoad = nextLoad.Add(soakLoadInterval)
		}
		action := k.chooseAction()
		k.counts[action.name]++
		action.run(ctx, k)
		_ = sleep(ctx, minFaultPause+time.Duration(k.random.Int64N(int64(maxFaultPause-minFaultPause)))) // the loop checks the context
	}
	stopClients()
	k.clients.running.Wait()
	k.queues.restore()
	k.changeConfiguration(ctx)
	k.change.Wait()
	k.system.recoveries.Wait()
	k.system.recordFailure(sleep(ctx, moveApplyTime))
	k.clients.cancelAll(ctx, k.random)
	k.cancelLargeLongRunning(ctx)
	k.replaceLeaders(ctx)
	for _, wait := range k.loads {
		accepted += wait()
	}
	k.explainUnfinishedJobs(ctx)
	return accepted
}

// explainUnfinishedJobs logs why tasks of jobs wait that should have ended, and the state of the workers.
func (k *soak) explainUnfinishedJobs(ctx context.Context) {
	unfinished := false
	for _, plan := range k.system.jobs {
		if plan.body.Stages[0].LongRunning {
			continue
		}
		state := stateOf(k.system.clientRequest(ctx, k.front(), http.MethodGet, plan.path(), nil).Answer)
		if state == "queued" || state == "running" {
			unfinished = true
			k.logOperatorRead(ctx, operations.JobsPath+"/"+string(plan.id)+operations.ExplainSuffix)
		}
	}
	if unfinished {
		k.logOperatorRead(ctx, operations.WorkersPath)
	}
}

// logOperatorRead logs the first core machine's answer to an operators' read.
func (k *soak) logOperatorRead(ctx context.Context, path string) {
	for _, core := range k.system.core {
		status, answer := k.system.sendWith(ctx, http.Header{}, http.MethodGet, "http://"+core.address(controlOffset)+path, nil)
		if status == http.StatusOK {
			k.log("%s: %s", path, answer)
			return
		}
	}
}

// chooseAction draws an action by its weight.
func (k *soak) chooseAction() soakAction {
	total := 0
	for _, action := range soakActions {
		total += action.weight
	}
	drawn := k.random.IntN(total)
	for _, action := range soakActions {
		if drawn -= action.weight; drawn < 0 {
			return action
		}
	}
	return soakActions[0]
}

// soakScenario returns a scenario that injects random faults for the given time.
func soakScenario(t *testing.T, seed uint64, length time.Duration, fronts int) scenario {
	size := defaultSize
	size.fronts = fronts
	return scenario{
		name: fmt.Sprintf("soak-%d", seed), seed: seed, size: size, timeout: length + soakRecovery,
		prepare: func(s *system) {
			delayRandom := rand.New(rand.NewPCG(seed, 7))
			for _, m := range s.core {
				s.network.setDelay(m.name, "platform", time.Duration(delayRandom.Int64N(int64(maxPlatformDelay))))
			}
		},
		faults: func(ctx context.Context, s *system) error {
			k := &soak{system: s, log: t.Logf, random: rand.New(rand.NewPCG(seed, 5)), counts: map[string]int{}, queues: newMovingQueues()}
			k.clients = &queueClients{system: s, queues: k.queues}
			accepted := k.run(ctx, length)
			t.Logf("soak %d: %d further jobs accepted, %v; jobs of moving queues: %s", seed, accepted, k.counts, k.clients.summary())
			return nil
		},
	}
}

// environmentNumber returns the number in an environment variable, or a default if it is not set.
func environmentNumber(t *testing.T, variable string, otherwise int) int {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return otherwise
	}
	number, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", variable, err)
	}
	return number
}

// TestSoak runs systems of real processes under series of faults that overlap. PUFFINLINK_SOAK_SEEDS and the other variables above make it
// longer; scripts/soak sets them.
func TestSoak(t *testing.T) {
	length := defaultSoakLength
	if text := os.Getenv(soakLengthVariable); text != "" {
		var err error
		if length, err = time.ParseDuration(text); err != nil {
			t.Fatal(err)
		}
	}
	first, fronts := environmentNumber(t, soakFirstVariable, defaultSoakFirst), environmentNumber(t, soakFrontsVariable, defaultSoakFronts)
	var scenarios []scenario
	for i := range environmentNumber(t, soakSeedsVariable, defaultSoakSeeds) {
		scenarios = append(scenarios, soakScenario(t, uint64(first+i), length, fronts))
	}
	runScenarios(t, scenarios, environmentNumber(t, soakSystemsVariable, defaultSoakSystems), "No rule is broken by a soak: ")
}
