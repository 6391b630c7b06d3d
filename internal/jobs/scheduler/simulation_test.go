package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// simulation runs the scheduler in virtual time with simulated workers, replicated state and changes of leadership. It checks
// every start against the scheduler's guarantees, without reading the scheduler's internal state.
type simulation struct {
	random        *rand.Rand
	settings      Settings
	startTime     time.Time
	elapsed       time.Duration
	scheduler     *Scheduler
	epoch         uint64
	durable       map[string][]byte
	inFlight      []proposal // proposed, but not durable yet
	workers       []*simulatedWorker
	events        []timedEvent // to be run when their time is reached
	taskHistories map[job.TaskID]*taskHistory
	jobs          map[job.ID]*simulatedJob
	violations    []string

	lateStartProbability float64 // fraction of starts that get no response and are executed late
	dropRecords          bool    // discards all records, to test that the checks detect it
}

// proposal is a set of effects whose entries become durable at a given time.
type proposal struct {
	at      time.Duration
	effects Effects
}

// timedEvent is a function to be run at a given time.
type timedEvent struct {
	at  time.Duration
	run func()
}

// simulatedWorker is one incarnation of a worker.
type simulatedWorker struct {
	workerclient.Instance
	fencingToken      uint64
	running           map[job.TaskID]*simulatedAttempt
	completions       []workerclient.FinishedTask
	acknowledged      uint64
	closedAttempts    map[job.TaskID]uint64 // by task: highest attempt number that was stopped or has ended here
	leaseEnd          time.Duration
	partitioned       bool
	up                bool
	reportedAt        time.Duration
	leaseGrantedUntil time.Duration // when all leases that the leader has granted expire
	failsAllAttempts  bool
	reachabilityKnown bool   // the current leader has been told whether the worker is reachable
	reportedEpoch     uint64 // epoch of the leader that received the last report
}

// simulatedAttempt is an attempt that runs on a simulated worker.
type simulatedAttempt struct {
	number    uint64
	endsAt    time.Duration
	outcome   job.Outcome
	startedAt time.Duration
	duration  time.Duration
	stalled   bool
}

// taskHistory is what has happened to a task, as observed at the workers.
type taskHistory struct {
	completionAcknowledged bool
	completed              bool
	failuresAcknowledged   map[uint64]bool
	lastAttempt            uint64
}

// simulatedJob is a submitted job with the behavior of its tasks.
type simulatedJob struct {
	request       jobapi.SubmitRequest
	alwaysFails   bool
	cancelledAt   time.Duration // 0 if it was not cancelled
	taskDurations map[job.TaskID]time.Duration
}

func newSimulation(seed uint64, machines int) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), startTime: time.Unix(1_700_000_000, 0), durable: map[string][]byte{},
		taskHistories: map[job.TaskID]*taskHistory{}, jobs: map[job.ID]*simulatedJob{}, epoch: 1,
		settings: Settings{RemoteSlowdown: 2, MaxStopDuration: 400 * time.Millisecond, RestoreDuration: 200 * time.Millisecond,
			MaxLease: 6 * time.Second, MinDrainDuration: 3 * time.Second, StatusRetention: time.Hour},
	}
	for i := range machines {
		sim.addWorker(fmt.Sprintf("s%02d", i), i)
	}
	sim.startLeadership()
	return sim
}

func (sim *simulation) addWorker(id string, number int) {
	worker := &simulatedWorker{
		Instance: workerclient.Instance{ID: workerclient.WorkerID(id), Service: "x", Capacity: job.Resources{Processors: 8000, MemoryMB: 8000, Accelerators: 4},
			Labels: []string{[]string{"a", "b"}[number%2], fmt.Sprintf("rack%d", number/3)}},
		running: map[job.TaskID]*simulatedAttempt{}, closedAttempts: map[job.TaskID]uint64{}, up: true,
	}
	sim.workers = append(sim.workers, worker)
}

func (sim *simulation) clock() Now {
	at := sim.startTime.Add(sim.elapsed)
	return Now{Monotonic: at, WallMS: at.UnixMilli()}
}

// startLeadership starts a new leadership from the durable state. All other state is lost.
func (sim *simulation) startLeadership() {
	if sim.scheduler != nil {
		sim.epoch++
	}
	sim.inFlight = nil
	successor, err := New(sim.settings, sim.clock(), maps.Clone(sim.durable))
	if err != nil {
		panic(err)
	}
	sim.scheduler = successor
	for _, worker := range sim.workers {
		worker.reachabilityKnown = false
	}
	sim.sendInventory()
}

func (sim *simulation) sendInventory() {
	var instances []workerclient.Instance
	for _, worker := range sim.workers {
		if worker.up {
			instances = append(instances, worker.Instance)
		}
	}
	sim.scheduler.SetInventory(sim.clock(), instances)
	sim.propose()
}

// propose takes the scheduler's effects and makes them durable after 15 ms.
func (sim *simulation) propose() {
	sim.scheduler.Dispatch(sim.clock())
	effects := sim.scheduler.TakeEffects()
	if !effects.Empty() {
		sim.inFlight = append(sim.inFlight, proposal{sim.elapsed + 15*time.Millisecond, effects})
	}
}

func (sim *simulation) worker(id workerclient.WorkerID) *simulatedWorker {
	index := slices.IndexFunc(sim.workers, func(worker *simulatedWorker) bool { return worker.ID == id })
	if index < 0 {
		return nil
	}
	return sim.workers[index]
}

// step advances the simulation by 20 ms.
func (sim *simulation) step() {
	sim.elapsed += 20 * time.Millisecond
	for len(sim.inFlight) > 0 && sim.inFlight[0].at <= sim.elapsed {
		effects := sim.inFlight[0].effects
		sim.inFlight = sim.inFlight[1:]
		sim.commit(effects)
	}
	sim.deliverEvents()
	for _, worker := range sim.workers {
		sim.runAttempts(worker)
		sim.sendReportIfDue(worker)
	}
	if sim.elapsed%(200*time.Millisecond) == 0 {
		sim.scheduler.Tick(sim.clock())
		sim.propose()
	}
}

func (sim *simulation) deliverEvents() {
	due := slices.DeleteFunc(slices.Clone(sim.events), func(e timedEvent) bool { return e.at > sim.elapsed })
	sim.events = slices.DeleteFunc(sim.events, func(e timedEvent) bool { return e.at <= sim.elapsed })
	for _, e := range due {
		e.run()
	}
}

// commit applies durable entries, then sends the commands and acknowledges the completions.
func (sim *simulation) commit(effects Effects) {
	if !sim.dropRecords {
		sim.apply(effects.Entries)
	}
	for _, command := range effects.Commands {
		worker := sim.worker(command.Worker)
		if worker == nil {
			continue
		}
		if command.Stop != nil {
			sim.sendStop(worker, *command.Stop, sim.epoch, sim.scheduler)
			continue
		}
		if sim.scheduler.ShouldSendStart(command.Worker, command.Start) {
			sim.sendStart(worker, *command.Start, sim.epoch, sim.scheduler)
		}
	}
	for _, acknowledgement := range effects.Acknowledgements {
		worker := sim.worker(acknowledgement.Worker)
		if worker != nil && !worker.partitioned && worker.up {
			sim.acknowledge(worker, acknowledgement.CompletionNumber)
		}
	}
}

func (sim *simulation) apply(entries []replication.Entry) {
	for _, entry := range entries {
		if entry.Value == nil {
			delete(sim.durable, entry.Key)
			continue
		}
		sim.durable[entry.Key] = entry.Value
	}
}

func (sim *simulation) acknowledge(worker *simulatedWorker, number uint64) {
	for _, completion := range worker.completions {
		if completion.CompletionNumber > number || completion.CompletionNumber <= worker.acknowledged {
			continue
		}
		history := sim.taskHistory(completion.Task)
		history.completionAcknowledged = history.completionAcknowledged || completion.Outcome == job.OutcomeDone
		if completion.Outcome == job.OutcomeFailed {
			history.failuresAcknowledged[completion.AttemptNumber] = true
		}
	}
	worker.acknowledged = max(worker.acknowledged, number)
	worker.completions = slices.DeleteFunc(worker.completions, func(completion workerclient.FinishedTask) bool {
		return completion.CompletionNumber <= worker.acknowledged
	})
}

func (sim *simulation) taskHistory(id job.TaskID) *taskHistory {
	if sim.taskHistories[id] == nil {
		sim.taskHistories[id] = &taskHistory{failuresAcknowledged: map[uint64]bool{}}
	}
	return sim.taskHistories[id]
}

func (sim *simulation) sendStart(worker *simulatedWorker, command workerclient.StartCommand, epoch uint64, sender *Scheduler) {
	result := workerclient.StartResult{Worker: worker.ID, Command: command, Outcome: workerclient.Unclear}
	delay := time.Duration(sim.random.IntN(30)) * time.Millisecond
	if worker.partitioned || !worker.up {
		sim.schedule(900*time.Millisecond, func() { sim.deliverStartResult(result, sender) })
		return
	}
	validUntil := sim.elapsed + sim.settings.MaxLease
	if sim.random.Float64() < sim.lateStartProbability {
		lateDelay := 2*time.Second + time.Duration(sim.random.Int64N(int64(10*time.Second)))
		sim.schedule(lateDelay, func() { sim.executeStart(worker, command, epoch, validUntil, true) })
		sim.schedule(900*time.Millisecond, func() { sim.deliverStartResult(result, sender) })
		return
	}
	sim.schedule(delay, func() {
		result.Outcome = sim.executeStart(worker, command, epoch, validUntil, false)
		sim.schedule(5*time.Millisecond, func() { sim.deliverStartResult(result, sender) })
	})
}

func (sim *simulation) deliverStartResult(result workerclient.StartResult, sender *Scheduler) {
	if sender != sim.scheduler {
		return
	}
	result.At = sim.clock().Monotonic
	sim.scheduler.HandleStartResult(sim.clock(), &result)
	sim.propose()
}

func (sim *simulation) schedule(delay time.Duration, run func()) {
	sim.events = append(sim.events, timedEvent{sim.elapsed + delay, run})
}

// executeStart executes a start command as a worker would.
func (sim *simulation) executeStart(worker *simulatedWorker, command workerclient.StartCommand, epoch uint64, validUntil time.Duration, late bool) workerclient.StartOutcome {
	if !worker.up {
		return workerclient.Unclear
	}
	if epoch < worker.fencingToken {
		return workerclient.RejectedFencingToken
	}
	worker.fencingToken = epoch
	if worker.leaseEnd = max(worker.leaseEnd, min(validUntil, sim.elapsed+sim.settings.MaxLease)); validUntil <= sim.elapsed {
		return workerclient.RejectedLeaseExpired
	}
	if command.AttemptNumber <= worker.closedAttempts[command.Task] {
		return workerclient.RejectedStaleAttempt
	}
	if running := worker.running[command.Task]; running != nil {
		return workerclient.Started
	}
	submitted := sim.jobs[command.Task.Job]
	if submitted == nil {
		sim.recordViolation("start of %v, which was not submitted", command.Task)
		return workerclient.RejectedInvalid
	}
	stage := &submitted.request.Specification.Stages[command.Task.Stage]
	if !worker.freeCapacity(sim).Fits(stage.Resources) {
		sim.recordViolation("start of %v exceeds the capacity of %s", command.Task, worker.ID)
		return workerclient.RejectedCapacity
	}
	sim.checkStart(worker, command, submitted, stage, late)
	duration := submitted.taskDurations[command.Task]
	attempt := &simulatedAttempt{number: command.AttemptNumber, outcome: job.OutcomeDone, startedAt: sim.elapsed, duration: duration, endsAt: sim.elapsed + duration}
	if submitted.alwaysFails || worker.failsAllAttempts {
		attempt.outcome, attempt.endsAt = job.OutcomeFailed, sim.elapsed+duration/2
	}
	if stage.LongRunning {
		attempt.endsAt = sim.elapsed + time.Hour
	}
	worker.running[command.Task] = attempt
	return workerclient.Started
}

func (worker *simulatedWorker) freeCapacity(sim *simulation) job.Resources {
	free := worker.Capacity
	for id := range worker.running {
		free = free.Subtract(sim.jobs[id.Job].request.Specification.Stages[id.Stage].Resources)
	}
	return free
}

func (sim *simulation) recordViolation(format string, values ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("at %v: ", sim.elapsed)+fmt.Sprintf(format, values...))
}

// checkStart checks one start. Guarantees with a time limit do not apply to starts that a worker executed late.
func (sim *simulation) checkStart(worker *simulatedWorker, command workerclient.StartCommand, submitted *simulatedJob, stage *job.Stage, late bool) {
	id := command.Task
	history := sim.taskHistory(id)
	if !stage.AtLeastOnce {
		for _, other := range sim.workers {
			if other != worker && other.up && other.running[id] != nil {
				sim.recordViolation("two attempts of %v run at the same time, on %s and %s", id, other.ID, worker.ID)
			}
		}
		if history.completionAcknowledged && !stage.LongRunning {
			sim.recordViolation("%v starts after its completion was acknowledged", id)
		}
	}
	if len(history.failuresAcknowledged) >= submitted.request.Queue.MaxAttempts && !stage.LongRunning && (!late || !stage.AtLeastOnce) {
		sim.recordViolation("%v starts after its last permitted failure", id)
	}
	for _, dependency := range stage.DependsOn {
		for index := range submitted.request.Specification.Stages[dependency].Count {
			if !sim.taskHistory(job.TaskID{Job: id.Job, Repetition: id.Repetition, Stage: dependency, Index: index}).completed {
				sim.recordViolation("%v starts before its dependencies are complete", id)
			}
		}
	}
	if dueMS := submitted.request.Specification.FirstRunMS + int64(id.Repetition)*submitted.request.Specification.IntervalMS; dueMS > sim.clock().WallMS+250 {
		sim.recordViolation("%v starts before its repetition is due", id)
	}
	for _, label := range stage.Requirements {
		if !slices.Contains(worker.Labels, label) {
			sim.recordViolation("%v starts on %s, which lacks a required label", id, worker.ID)
		}
	}
	siblings := 0
	for other := range worker.running {
		if other.Job == id.Job && other.Repetition == id.Repetition && other.Stage == id.Stage {
			siblings++
		}
	}
	if stage.AntiAffinity > 0 && siblings >= stage.AntiAffinity {
		sim.recordViolation("%v exceeds the anti-affinity limit on %s", id, worker.ID)
	}
	if !late && submitted.cancelledAt > 0 && sim.elapsed > submitted.cancelledAt+3*time.Second {
		sim.recordViolation("%v starts more than 3 s after its job was cancelled", id)
	}
	if command.AttemptNumber <= history.lastAttempt && !stage.AtLeastOnce {
		sim.recordViolation("attempt number %d of %v does not exceed the previous one", command.AttemptNumber, id)
	}
	history.lastAttempt = max(history.lastAttempt, command.AttemptNumber)
}

func (sim *simulation) sendStop(worker *simulatedWorker, command workerclient.StopCommand, epoch uint64, sender *Scheduler) {
	sim.schedule(10*time.Millisecond, func() {
		if sender != sim.scheduler {
			return
		}
		if worker.partitioned || !worker.up {
			sim.sendStop(worker, command, epoch, sender) // repeats the stop until the worker responds
			return
		}
		if epoch >= worker.fencingToken {
			worker.fencingToken = epoch
			if attempt := worker.running[command.Task]; attempt != nil && attempt.number <= command.AttemptNumber {
				sim.complete(worker, command.Task, job.OutcomeStopped)
			}
			worker.closedAttempts[command.Task] = max(worker.closedAttempts[command.Task], command.AttemptNumber)
		}
		sim.scheduler.HandleStopResult(&workerclient.StopResult{Worker: worker.ID, Command: command, Answered: true, At: sim.clock().Monotonic})
		sim.propose()
	})
}

// complete ends an attempt and those of the other members of its gang, as workers do.
func (sim *simulation) complete(worker *simulatedWorker, id job.TaskID, outcome job.Outcome) {
	attempt := worker.running[id]
	delete(worker.running, id)
	worker.closedAttempts[id] = max(worker.closedAttempts[id], attempt.number)
	number := worker.acknowledged + 1
	if len(worker.completions) > 0 {
		number = worker.completions[len(worker.completions)-1].CompletionNumber + 1
	}
	worker.completions = append(worker.completions, workerclient.FinishedTask{CompletionNumber: number, Task: id, AttemptNumber: attempt.number, Outcome: outcome})
	stage := &sim.jobs[id.Job].request.Specification.Stages[id.Stage]
	if outcome == job.OutcomeDone {
		sim.taskHistory(id).completed = true
	}
	if !stage.GangScheduled {
		return
	}
	memberOutcome := job.OutcomeGangBroken
	if outcome == job.OutcomeDone {
		memberOutcome = job.OutcomeDone
	}
	for _, other := range sim.workers {
		for _, member := range sortedTasks(other.running) {
			if member.Job == id.Job && member.Stage == id.Stage && member.Repetition == id.Repetition && other.running[member] != nil && other.running[member].number == attempt.number {
				sim.complete(other, member, memberOutcome)
			}
		}
	}
}

func sortedTasks(running map[job.TaskID]*simulatedAttempt) []job.TaskID {
	return slices.SortedFunc(maps.Keys(running), compareTaskIDs)
}

func (sim *simulation) runAttempts(worker *simulatedWorker) {
	if !worker.up {
		return
	}
	if sim.elapsed >= worker.leaseEnd {
		for _, id := range sortedTasks(worker.running) {
			if worker.running[id] != nil {
				sim.complete(worker, id, job.OutcomeLeaseExpired)
			}
		}
		return
	}
	for _, id := range sortedTasks(worker.running) {
		if attempt := worker.running[id]; attempt != nil && !attempt.stalled && attempt.endsAt <= sim.elapsed && sim.isGangComplete(id, attempt.number) {
			sim.complete(worker, id, attempt.outcome)
		}
	}
}

// isGangComplete reports whether all members of a gang attempt are running. It returns true for other tasks.
func (sim *simulation) isGangComplete(id job.TaskID, number uint64) bool {
	stage := &sim.jobs[id.Job].request.Specification.Stages[id.Stage]
	if !stage.GangScheduled {
		return true
	}
	running := 0
	for _, worker := range sim.workers {
		for other, attempt := range worker.running {
			if other.Job == id.Job && other.Stage == id.Stage && other.Repetition == id.Repetition && attempt.number == number {
				running++
			}
		}
	}
	return running == stage.Count
}

// sendReportIfDue delivers a worker's report to the scheduler every 300 ms, or reports that the worker is unreachable.
func (sim *simulation) sendReportIfDue(worker *simulatedWorker) {
	if sim.elapsed-worker.reportedAt < 300*time.Millisecond && worker.reachabilityKnown {
		return
	}
	worker.reportedAt = sim.elapsed
	if !worker.up {
		return
	}
	if worker.partitioned {
		sim.reportUnreachable(worker)
		return
	}
	worker.reachabilityKnown = true
	worker.fencingToken = max(worker.fencingToken, sim.epoch)
	worker.leaseEnd = max(worker.leaseEnd, sim.elapsed+sim.settings.MaxLease)
	worker.leaseGrantedUntil = worker.leaseEnd
	listing := workerclient.Listing{Worker: worker.ID, SentAt: sim.clock().Monotonic, First: worker.reportedEpoch != sim.epoch, Finished: slices.Clone(worker.completions)}
	worker.reportedEpoch = sim.epoch
	for _, id := range sortedTasks(worker.running) {
		attempt := worker.running[id]
		percent := int(99 * (sim.elapsed - attempt.startedAt) / max(attempt.duration, 1))
		if attempt.stalled {
			percent = 0
		}
		listing.Running = append(listing.Running, workerclient.RunningTask{Task: id, AttemptNumber: attempt.number, Percent: min(percent, 99)})
	}
	sim.scheduler.HandleReport(sim.clock(), &listing)
	sim.propose()
}

// reportUnreachable tells the scheduler that a worker is unreachable, and when its leases have expired.
func (sim *simulation) reportUnreachable(worker *simulatedWorker) {
	if !worker.reachabilityKnown {
		return
	}
	sim.scheduler.SetReachable(sim.clock(), worker.ID, false)
	if sim.elapsed > worker.leaseGrantedUntil+LateCommandWindow+7*time.Second {
		sim.scheduler.ExpireLease(sim.clock(), worker.ID)
	}
	sim.propose()
}

// crash ends a worker and adds a successor incarnation. The scheduler is told of the crash after a second.
func (sim *simulation) crash(worker *simulatedWorker, successor string) {
	worker.up = false
	sim.addWorker(successor, len(sim.workers))
	sim.schedule(time.Second, func() {
		sim.scheduler.RemoveWorker(sim.clock(), worker.ID)
		sim.propose()
		sim.sendInventory()
	})
}

func (sim *simulation) submit(submitted *simulatedJob) {
	sim.jobs[submitted.request.ID] = submitted
	submitted.taskDurations = map[job.TaskID]time.Duration{}
	for repetition := range submitted.request.Specification.RepetitionCount() {
		for number, stage := range submitted.request.Specification.Stages {
			for index := range stage.Count {
				duration := time.Duration(100+sim.random.IntN(900)) * time.Millisecond
				submitted.taskDurations[job.TaskID{Job: submitted.request.ID, Repetition: repetition, Stage: number, Index: index}] = duration
			}
		}
	}
	sim.resubmit(submitted)
}

// resubmit submits a job repeatedly until it is durable, as clients do.
func (sim *simulation) resubmit(submitted *simulatedJob) {
	if sim.durable[jobKey(submitted.request.ID)] != nil || sim.durable[endedKey(submitted.request.ID)] != nil {
		return
	}
	sim.scheduler.Submit(sim.clock(), &submitted.request)
	sim.propose()
	sim.schedule(500*time.Millisecond, func() { sim.resubmit(submitted) })
}

// cancel cancels a job repeatedly until its end is durable.
func (sim *simulation) cancel(submitted *simulatedJob) {
	if sim.durable[endedKey(submitted.request.ID)] != nil {
		if submitted.cancelledAt == 0 {
			submitted.cancelledAt = sim.elapsed
		}
		return
	}
	sim.scheduler.Cancel(sim.clock(), submitted.request.ID)
	sim.propose()
	sim.schedule(500*time.Millisecond, func() { sim.cancel(submitted) })
}

// randomJob makes a job with random stages, requests and constraints. One job in 12 always fails.
func (sim *simulation) randomJob(number int) *simulatedJob {
	random := sim.random
	created := &simulatedJob{alwaysFails: random.IntN(12) == 0}
	request := jobapi.SubmitRequest{Group: "jobs/x", ID: job.ID(fmt.Sprintf("%016x", number)),
		Queue: jobapi.Queue{Route: "r", Service: "x", Priority: random.IntN(3), MaxAttempts: 2 + random.IntN(3), TargetLatencyMS: 500}}
	if random.IntN(8) == 0 {
		request.Specification.Repetitions = 1 + random.IntN(3)
		request.Specification.FirstRunMS = sim.clock().WallMS + int64(random.IntN(3000))
		request.Specification.IntervalMS = 700
	}
	for i := range 1 + random.IntN(3) {
		stage := job.Stage{Count: 1 + random.IntN(6), EstimatedDurationMS: 500,
			Resources: job.Resources{Processors: int64(500 + random.IntN(3500)), MemoryMB: int64(100 + random.IntN(2000)), Accelerators: int64(random.IntN(2))}}
		if i > 0 && random.IntN(3) > 0 {
			stage.DependsOn = []int{random.IntN(i)}
		}
		switch random.IntN(8) {
		case 0:
			stage.GangScheduled, stage.SameRack = true, random.IntN(2) == 0
		case 1:
			stage.AtLeastOnce = true
		case 2:
			stage.AntiAffinity = 1 + random.IntN(2)
		case 3:
			stage.Requirements = job.Labels{[]string{"a", "b"}[random.IntN(2)]}
		case 4:
			stage.Affinity = "rack1"
		}
		request.Specification.Stages = append(request.Specification.Stages, stage)
	}
	created.request = request
	return created
}
