package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

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
	reportsFrom       time.Duration // no report is delivered before
	leaseGrantedUntil time.Duration // when all leases that the leader has granted expire
	failsAllAttempts  bool
	reachabilityKnown bool   // the current leader has been told whether the worker is reachable
	reportedEpoch     uint64 // epoch of the leader that received the last report
}

// maxFirstReportDelay is the longest time from the opening of a link until the first report, where inventories are late.
const maxFirstReportDelay = time.Second

// checkpointInterval is the time between two checkpoints of a simulated attempt.
const checkpointInterval = 200 * time.Millisecond

// simulatedAttempt is an attempt that runs on a simulated worker.
type simulatedAttempt struct {
	resumedFrom string // checkpoint in the start command
	number      uint64
	endsAt      time.Duration
	outcome     job.Outcome
	startedAt   time.Duration
	duration    time.Duration
	stalled     bool
}

func (sim *simulation) addWorker(id string, number int) {
	worker := &simulatedWorker{
		Instance: workerclient.Instance{ID: workerclient.WorkerID(id), Service: "x", Capacity: job.Resources{Processors: 8000, MemoryMB: 8000, Accelerators: 4},
			Labels: []string{[]string{"a", "b"}[number%2], fmt.Sprintf("rack%d", number/3)}},
		running: map[job.TaskID]*simulatedAttempt{}, closedAttempts: map[job.TaskID]uint64{}, up: true,
	}
	sim.workers = append(sim.workers, worker)
}

func (sim *simulation) worker(id workerclient.WorkerID) *simulatedWorker {
	index := slices.IndexFunc(sim.workers, func(worker *simulatedWorker) bool { return worker.ID == id })
	if index < 0 {
		return nil
	}
	return sim.workers[index]
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
	attempt := &simulatedAttempt{resumedFrom: command.Checkpoint, number: command.AttemptNumber, outcome: job.OutcomeDone, startedAt: sim.elapsed, duration: duration, endsAt: sim.elapsed + duration}
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
	worker.completions = append(worker.completions, workerclient.FinishedTask{CompletionNumber: number, Task: id, AttemptNumber: attempt.number, Outcome: outcome,
		Checkpoint: sim.checkpoint(id, attempt)})
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

// checkpoint returns the newest checkpoint of an attempt and records that the task has saved it.
func (sim *simulation) checkpoint(id job.TaskID, attempt *simulatedAttempt) string {
	saves := int64((sim.elapsed - attempt.startedAt) / checkpointInterval)
	if !sim.jobs[id.Job].request.Specification.Stages[id.Stage].Checkpoints || saves == 0 {
		return attempt.resumedFrom
	}
	text := fmt.Sprintf("%v attempt %d save %d", id, attempt.number, saves)
	sim.savedCheckpoints[text] = id
	return text
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
	if !sim.linked[worker.ID] || sim.elapsed < worker.reportsFrom || sim.elapsed-worker.reportedAt < 300*time.Millisecond && worker.reachabilityKnown {
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
		listing.Running = append(listing.Running, workerclient.RunningTask{Task: id, AttemptNumber: attempt.number, Percent: min(percent, 99),
			Checkpoint: sim.checkpoint(id, attempt)})
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
		if sim.linked[worker.ID] {
			sim.scheduler.RemoveWorker(sim.clock(), worker.ID)
			sim.propose()
		}
		sim.sendInventory()
	})
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
