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

// simulation simulates workers, a replicated state and a leadership that may be replaced, in virtual time, and checks every
// start against the promises that jobs have. It reads nothing of the scheduler's state.
type simulation struct {
	random     *rand.Rand
	settings   Settings
	startTime  time.Time
	elapsed    time.Duration
	scheduler  *Scheduler
	epoch      uint64
	durable    map[string][]byte
	inFlight   []proposal // proposed, not durable yet
	workers    []*simulatedWorker
	events     []timedEvent // what arrives later
	tasks      map[job.TaskID]*taskFacts
	jobs       map[job.ID]*jobFacts
	violations []string

	lateShare   float64 // share of starts that get no answer and are executed late
	dropRecords bool    // to test the checker: records are not kept
}

type proposal struct {
	at      time.Duration
	effects Effects
}

type timedEvent struct {
	at time.Duration
	do func()
}

// simulatedWorker is one incarnation of a worker.
type simulatedWorker struct {
	workerclient.Instance
	fencingToken      uint64
	running           map[job.TaskID]*simulatedAttempt
	completions       []workerclient.FinishedTask
	acknowledged      uint64
	closedAttempts    map[job.TaskID]uint64 // highest attempt that was stopped or has ended here
	leaseEnd          time.Duration
	partitioned       bool
	up                bool
	reportedAt        time.Duration
	grantedUntil      time.Duration // when all granted leases have expired, as the leader knows
	failing           bool
	reachabilityKnown bool   // the scheduler knows whether it is reachable
	reportedEpoch     uint64 // epoch whose leader has had a report
}

type simulatedAttempt struct {
	number    uint64
	endsAt    time.Duration
	outcome   job.Outcome
	startedAt time.Duration
	length    time.Duration
	stuck     bool
}

type taskFacts struct {
	doneAcknowledged     bool
	done                 bool
	failuresAcknowledged map[uint64]bool
	lastAttempt          uint64
}

type jobFacts struct {
	request     jobapi.Submit
	poison      bool
	cancelledAt time.Duration // 0: never
	lengths     map[job.TaskID]time.Duration
}

func newSimulation(seed uint64, machines int) *simulation {
	w := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), startTime: time.Unix(1_700_000_000, 0), durable: map[string][]byte{},
		tasks: map[job.TaskID]*taskFacts{}, jobs: map[job.ID]*jobFacts{}, epoch: 1,
		settings: Settings{RemoteSlowdown: 2, MaxStopDuration: 400 * time.Millisecond, RestoreDuration: 200 * time.Millisecond,
			MaxLease: 6 * time.Second, MinDrainDuration: 3 * time.Second, StatusRetention: time.Hour},
	}
	for i := range machines {
		w.addWorker(fmt.Sprintf("s%02d", i), i)
	}
	w.elect()
	return w
}

func (w *simulation) addWorker(id string, number int) {
	worker := &simulatedWorker{
		Instance: workerclient.Instance{ID: workerclient.WorkerID(id), Service: "x", Capacity: job.Resources{Processors: 8000, MemoryMB: 8000, Accelerators: 4},
			Labels: []string{[]string{"a", "b"}[number%2], fmt.Sprintf("rack%d", number/3)}},
		running: map[job.TaskID]*simulatedAttempt{}, closedAttempts: map[job.TaskID]uint64{}, up: true,
	}
	w.workers = append(w.workers, worker)
}

func (w *simulation) clock() Now {
	at := w.startTime.Add(w.elapsed)
	return Now{Monotonic: at, WallMS: at.UnixMilli()}
}

// elect begins a new leadership from what is durable; the rest is lost.
func (w *simulation) elect() {
	if w.scheduler != nil {
		w.epoch++
	}
	w.inFlight = nil
	next, err := New(w.settings, w.clock(), maps.Clone(w.durable))
	if err != nil {
		panic(err)
	}
	w.scheduler = next
	for _, worker := range w.workers {
		worker.reachabilityKnown = false
	}
	w.sendInventory()
}

func (w *simulation) sendInventory() {
	var instances []workerclient.Instance
	for _, worker := range w.workers {
		if worker.up {
			instances = append(instances, worker.Instance)
		}
	}
	w.scheduler.SetInventory(w.clock(), instances)
	w.propose()
}

// propose takes the scheduler's effects; they are durable a little later.
func (w *simulation) propose() {
	w.scheduler.Dispatch(w.clock())
	effects := w.scheduler.TakeEffects()
	if !effects.Empty() {
		w.inFlight = append(w.inFlight, proposal{w.elapsed + 15*time.Millisecond, effects})
	}
}

func (w *simulation) worker(id workerclient.WorkerID) *simulatedWorker {
	at := slices.IndexFunc(w.workers, func(worker *simulatedWorker) bool { return worker.ID == id })
	if at < 0 {
		return nil
	}
	return w.workers[at]
}

// step advances the simulation by 20 ms.
func (w *simulation) step() {
	w.elapsed += 20 * time.Millisecond
	for len(w.inFlight) > 0 && w.inFlight[0].at <= w.elapsed {
		effects := w.inFlight[0].effects
		w.inFlight = w.inFlight[1:]
		w.commit(effects)
	}
	w.deliverEvents()
	for _, worker := range w.workers {
		w.runAttempts(worker)
		w.sendReport(worker)
	}
	if w.elapsed%(200*time.Millisecond) == 0 {
		w.scheduler.Tick(w.clock())
		w.propose()
	}
}

func (w *simulation) deliverEvents() {
	due := slices.DeleteFunc(slices.Clone(w.events), func(e timedEvent) bool { return e.at > w.elapsed })
	w.events = slices.DeleteFunc(w.events, func(e timedEvent) bool { return e.at <= w.elapsed })
	for _, e := range due {
		e.do()
	}
}

func (w *simulation) commit(effects Effects) {
	if !w.dropRecords {
		w.apply(effects.Entries)
	}
	for _, command := range effects.Commands {
		worker := w.worker(command.Worker)
		if worker == nil {
			continue
		}
		if command.Stop != nil {
			w.sendStop(worker, *command.Stop, w.epoch, w.scheduler)
			continue
		}
		if w.scheduler.ShouldSendStart(command.Worker, command.Start) {
			w.sendStart(worker, *command.Start, w.epoch, w.scheduler)
		}
	}
	for _, acknowledgement := range effects.Acknowledgements {
		worker := w.worker(acknowledgement.Worker)
		if worker != nil && !worker.partitioned && worker.up {
			w.acknowledge(worker, acknowledgement.CompletionNumber)
		}
	}
}

func (w *simulation) apply(entries []replication.Entry) {
	for _, entry := range entries {
		if entry.Value == nil {
			delete(w.durable, entry.Key)
			continue
		}
		w.durable[entry.Key] = entry.Value
	}
}

func (w *simulation) acknowledge(worker *simulatedWorker, number uint64) {
	for _, completion := range worker.completions {
		if completion.CompletionNumber > number || completion.CompletionNumber <= worker.acknowledged {
			continue
		}
		facts := w.facts(completion.Task)
		facts.doneAcknowledged = facts.doneAcknowledged || completion.Outcome == job.OutcomeDone
		if completion.Outcome == job.OutcomeFailed {
			facts.failuresAcknowledged[completion.AttemptNumber] = true
		}
	}
	worker.acknowledged = max(worker.acknowledged, number)
	worker.completions = slices.DeleteFunc(worker.completions, func(completion workerclient.FinishedTask) bool {
		return completion.CompletionNumber <= worker.acknowledged
	})
}

func (w *simulation) facts(id job.TaskID) *taskFacts {
	if w.tasks[id] == nil {
		w.tasks[id] = &taskFacts{failuresAcknowledged: map[uint64]bool{}}
	}
	return w.tasks[id]
}

func (w *simulation) sendStart(worker *simulatedWorker, command workerclient.StartCommand, epoch uint64, sender *Scheduler) {
	result := workerclient.StartResult{Worker: worker.ID, Command: command, Outcome: workerclient.Unclear}
	wait := time.Duration(w.random.IntN(30)) * time.Millisecond
	if worker.partitioned || !worker.up {
		w.after(900*time.Millisecond, func() { w.startResult(result, sender) })
		return
	}
	validUntil := w.elapsed + w.settings.MaxLease
	if w.random.Float64() < w.lateShare {
		late := 2*time.Second + time.Duration(w.random.Int64N(int64(10*time.Second)))
		w.after(late, func() { w.executeStart(worker, command, epoch, validUntil, true) })
		w.after(900*time.Millisecond, func() { w.startResult(result, sender) })
		return
	}
	w.after(wait, func() {
		result.Outcome = w.executeStart(worker, command, epoch, validUntil, false)
		w.after(5*time.Millisecond, func() { w.startResult(result, sender) })
	})
}

func (w *simulation) startResult(result workerclient.StartResult, sender *Scheduler) {
	if sender != w.scheduler {
		return
	}
	result.At = w.clock().Monotonic
	w.scheduler.HandleStartResult(w.clock(), &result)
	w.propose()
}

func (w *simulation) after(pause time.Duration, do func()) {
	w.events = append(w.events, timedEvent{w.elapsed + pause, do})
}

// executeStart executes a start command, as a worker does.
func (w *simulation) executeStart(worker *simulatedWorker, command workerclient.StartCommand, epoch uint64, validUntil time.Duration, late bool) workerclient.StartOutcome {
	if !worker.up {
		return workerclient.Unclear
	}
	if epoch < worker.fencingToken {
		return workerclient.RejectedFencingToken
	}
	worker.fencingToken = epoch
	if worker.leaseEnd = max(worker.leaseEnd, min(validUntil, w.elapsed+w.settings.MaxLease)); validUntil <= w.elapsed {
		return workerclient.RejectedLeaseExpired
	}
	if command.AttemptNumber <= worker.closedAttempts[command.Task] {
		return workerclient.RejectedStaleAttempt
	}
	if already := worker.running[command.Task]; already != nil {
		return workerclient.Started
	}
	facts := w.jobs[command.Task.Job]
	if facts == nil {
		w.violation("UNASKED %v", command.Task)
		return workerclient.RejectedInvalid
	}
	stage := &facts.request.Specification.Stages[command.Task.Stage]
	if !worker.free(w).Fits(stage.Resources) {
		w.violation("LIMIT %v at %s", command.Task, worker.ID)
		return workerclient.RejectedCapacity
	}
	w.checkStart(worker, command, facts, stage, late)
	length := facts.lengths[command.Task]
	attempt := &simulatedAttempt{number: command.AttemptNumber, outcome: job.OutcomeDone, startedAt: w.elapsed, length: length, endsAt: w.elapsed + length}
	if facts.poison || worker.failing {
		attempt.outcome, attempt.endsAt = job.OutcomeFailed, w.elapsed+length/2
	}
	if stage.LongRunning {
		attempt.endsAt = w.elapsed + time.Hour
	}
	worker.running[command.Task] = attempt
	return workerclient.Started
}

func (worker *simulatedWorker) free(w *simulation) job.Resources {
	left := worker.Capacity
	for id := range worker.running {
		left = left.Subtract(w.jobs[id.Job].request.Specification.Stages[id.Stage].Resources)
	}
	return left
}

func (w *simulation) violation(format string, values ...any) {
	w.violations = append(w.violations, fmt.Sprintf("at %v: ", w.elapsed)+fmt.Sprintf(format, values...))
}

// checkStart checks one start. Promises with a time bound do not cover starts that a worker executed late.
func (w *simulation) checkStart(worker *simulatedWorker, command workerclient.StartCommand, facts *jobFacts, stage *job.Stage, late bool) {
	id := command.Task
	recorded := w.facts(id)
	if !stage.AtLeastOnce {
		for _, other := range w.workers {
			if other != worker && other.up && other.running[id] != nil {
				w.violation("TWICE %v at %s and %s", id, other.ID, worker.ID)
			}
		}
		if recorded.doneAcknowledged && !stage.LongRunning {
			w.violation("TWICE %v starts after it was done", id)
		}
	}
	if len(recorded.failuresAcknowledged) >= facts.request.Queue.MaxAttempts && !stage.LongRunning && (!late || !stage.AtLeastOnce) {
		w.violation("BUDGET %v", id)
	}
	for _, earlier := range stage.DependsOn {
		for index := range facts.request.Specification.Stages[earlier].Count {
			if !w.facts(job.TaskID{Job: id.Job, Repetition: id.Repetition, Stage: earlier, Index: index}).done {
				w.violation("ORDER %v", id)
			}
		}
	}
	if dueMS := facts.request.Specification.FirstRunMS + int64(id.Repetition)*facts.request.Specification.IntervalMS; dueMS > w.clock().WallMS+250 {
		w.violation("ORDER %v starts before its time", id)
	}
	for _, label := range stage.Requirements {
		if !slices.Contains(worker.Labels, label) {
			w.violation("ROUTE %v at %s", id, worker.ID)
		}
	}
	same := 0
	for other := range worker.running {
		if other.Job == id.Job && other.Repetition == id.Repetition && other.Stage == id.Stage {
			same++
		}
	}
	if stage.AntiAffinity > 0 && same >= stage.AntiAffinity {
		w.violation("ROUTE %v beyond antiAffinity at %s", id, worker.ID)
	}
	if !late && facts.cancelledAt > 0 && w.elapsed > facts.cancelledAt+3*time.Second {
		w.violation("UNASKED %v starts after it was cancelled", id)
	}
	if command.AttemptNumber <= recorded.lastAttempt && !stage.AtLeastOnce {
		w.violation("execution %d of %v does not rise", command.AttemptNumber, id)
	}
	recorded.lastAttempt = max(recorded.lastAttempt, command.AttemptNumber)
}

func (w *simulation) sendStop(worker *simulatedWorker, command workerclient.StopCommand, epoch uint64, sender *Scheduler) {
	w.after(10*time.Millisecond, func() {
		if sender != w.scheduler {
			return
		}
		if worker.partitioned || !worker.up {
			w.sendStop(worker, command, epoch, sender) // until it is answered
			return
		}
		if epoch >= worker.fencingToken {
			worker.fencingToken = epoch
			if attempt := worker.running[command.Task]; attempt != nil && attempt.number <= command.AttemptNumber {
				w.complete(worker, command.Task, job.OutcomeStopped)
			}
			worker.closedAttempts[command.Task] = max(worker.closedAttempts[command.Task], command.AttemptNumber)
		}
		w.scheduler.HandleStopResult(&workerclient.StopResult{Worker: worker.ID, Command: command, Answered: true, At: w.clock().Monotonic})
		w.propose()
	})
}

// complete ends an attempt and, as workers do, those of the other members of its gang.
func (w *simulation) complete(worker *simulatedWorker, id job.TaskID, outcome job.Outcome) {
	attempt := worker.running[id]
	delete(worker.running, id)
	worker.closedAttempts[id] = max(worker.closedAttempts[id], attempt.number)
	number := worker.acknowledged + 1
	if len(worker.completions) > 0 {
		number = worker.completions[len(worker.completions)-1].CompletionNumber + 1
	}
	worker.completions = append(worker.completions, workerclient.FinishedTask{CompletionNumber: number, Task: id, AttemptNumber: attempt.number, Outcome: outcome})
	stage := &w.jobs[id.Job].request.Specification.Stages[id.Stage]
	if outcome == job.OutcomeDone {
		w.facts(id).done = true
	}
	if !stage.GangScheduled {
		return
	}
	others := job.OutcomeGangBroken
	if outcome == job.OutcomeDone {
		others = job.OutcomeDone
	}
	for _, other := range w.workers {
		for _, member := range sortedTasks(other.running) {
			if member.Job == id.Job && member.Stage == id.Stage && member.Repetition == id.Repetition && other.running[member] != nil && other.running[member].number == attempt.number {
				w.complete(other, member, others)
			}
		}
	}
}

func sortedTasks(running map[job.TaskID]*simulatedAttempt) []job.TaskID {
	return slices.SortedFunc(maps.Keys(running), compareTaskIDs)
}

func (w *simulation) runAttempts(worker *simulatedWorker) {
	if !worker.up {
		return
	}
	if w.elapsed >= worker.leaseEnd {
		for _, id := range sortedTasks(worker.running) {
			if worker.running[id] != nil {
				w.complete(worker, id, job.OutcomeLeaseExpired)
			}
		}
		return
	}
	for _, id := range sortedTasks(worker.running) {
		if attempt := worker.running[id]; attempt != nil && !attempt.stuck && attempt.endsAt <= w.elapsed && w.isGangComplete(id, attempt.number) {
			w.complete(worker, id, attempt.outcome)
		}
	}
}

// isGangComplete tells whether all members of an attempt are running.
func (w *simulation) isGangComplete(id job.TaskID, number uint64) bool {
	stage := &w.jobs[id.Job].request.Specification.Stages[id.Stage]
	if !stage.GangScheduled {
		return true
	}
	running := 0
	for _, worker := range w.workers {
		for other, attempt := range worker.running {
			if other.Job == id.Job && other.Stage == id.Stage && other.Repetition == id.Repetition && attempt.number == number {
				running++
			}
		}
	}
	return running == stage.Count
}

// sendReport reports a worker that is due.
func (w *simulation) sendReport(worker *simulatedWorker) {
	if w.elapsed-worker.reportedAt < 300*time.Millisecond && worker.reachabilityKnown {
		return
	}
	worker.reportedAt = w.elapsed
	if !worker.up {
		return
	}
	if worker.partitioned {
		w.unreachable(worker)
		return
	}
	worker.reachabilityKnown = true
	worker.fencingToken = max(worker.fencingToken, w.epoch)
	worker.leaseEnd = max(worker.leaseEnd, w.elapsed+w.settings.MaxLease)
	worker.grantedUntil = worker.leaseEnd
	listing := workerclient.Listing{Worker: worker.ID, SentAt: w.clock().Monotonic, First: worker.reportedEpoch != w.epoch, Finished: slices.Clone(worker.completions)}
	worker.reportedEpoch = w.epoch
	for _, id := range sortedTasks(worker.running) {
		attempt := worker.running[id]
		percent := int(99 * (w.elapsed - attempt.startedAt) / max(attempt.length, 1))
		if attempt.stuck {
			percent = 0
		}
		listing.Running = append(listing.Running, workerclient.RunningTask{Task: id, AttemptNumber: attempt.number, Percent: min(percent, 99)})
	}
	w.scheduler.HandleReport(w.clock(), &listing)
	w.propose()
}

func (w *simulation) unreachable(worker *simulatedWorker) {
	if !worker.reachabilityKnown {
		return
	}
	w.scheduler.SetReachable(w.clock(), worker.ID, false)
	if w.elapsed > worker.grantedUntil+LateCommandWindow+7*time.Second {
		w.scheduler.ExpireLease(w.clock(), worker.ID)
	}
	w.propose()
}

func (w *simulation) crash(worker *simulatedWorker, successor string) {
	worker.up = false
	w.addWorker(successor, len(w.workers))
	w.after(time.Second, func() {
		w.scheduler.RemoveWorker(w.clock(), worker.ID)
		w.propose()
		w.sendInventory()
	})
}

func (w *simulation) submit(facts *jobFacts) {
	w.jobs[facts.request.ID] = facts
	facts.lengths = map[job.TaskID]time.Duration{}
	for repetition := range facts.request.Specification.RepetitionCount() {
		for number, stage := range facts.request.Specification.Stages {
			for index := range stage.Count {
				length := time.Duration(100+w.random.IntN(900)) * time.Millisecond
				facts.lengths[job.TaskID{Job: facts.request.ID, Repetition: repetition, Stage: number, Index: index}] = length
			}
		}
	}
	w.resubmit(facts)
}

// resubmit submits a job until it is durable, as clients do.
func (w *simulation) resubmit(facts *jobFacts) {
	if w.durable[jobKey(facts.request.ID)] != nil || w.durable[endedKey(facts.request.ID)] != nil {
		return
	}
	w.scheduler.Submit(w.clock(), &facts.request)
	w.propose()
	w.after(500*time.Millisecond, func() { w.resubmit(facts) })
}

func (w *simulation) cancel(facts *jobFacts) {
	if w.durable[endedKey(facts.request.ID)] != nil {
		if facts.cancelledAt == 0 {
			facts.cancelledAt = w.elapsed
		}
		return
	}
	w.scheduler.Cancel(w.clock(), facts.request.ID)
	w.propose()
	w.after(500*time.Millisecond, func() { w.cancel(facts) })
}

func (w *simulation) randomJob(number int) *jobFacts {
	random := w.random
	facts := &jobFacts{poison: random.IntN(12) == 0}
	request := jobapi.Submit{Group: "jobs/x", ID: job.ID(fmt.Sprintf("%016x", number)),
		Queue: jobapi.Queue{Route: "r", Service: "x", Priority: random.IntN(3), MaxAttempts: 2 + random.IntN(3), TargetLatencyMS: 500}}
	if random.IntN(8) == 0 {
		request.Specification.Repetitions = 1 + random.IntN(3)
		request.Specification.FirstRunMS = w.clock().WallMS + int64(random.IntN(3000))
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
	facts.request = request
	return facts
}
