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

// simulation plays workers, a replicated state and a leadership that may be replaced, in virtual time, and judges every
// start against the promises that jobs have. It knows nothing of the scheduler's state.
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

	lateShare   float64 // of starts that get no answer and are carried out late
	dropRecords bool    // mutant: records are not kept
}

type proposal struct {
	at      time.Duration
	effects Effects
}

type timedEvent struct {
	at time.Duration
	do func()
}

// machine is one life of a worker.
type simulatedWorker struct {
	workerclient.Instance
	fencingToken      uint64
	running           map[job.TaskID]*simulatedAttempt
	completions       []workerclient.FinishedTask
	acknowledged      uint64
	closedAttempts    map[job.TaskID]uint64 // highest run that was stopped or has ended here
	leaseEnd          time.Duration
	partitioned       bool
	up                bool
	reportedAt        time.Duration
	grantedUntil      time.Duration // when everything granted has lapsed, as the leader knows
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
		settings: Settings{RemoteFactor: 2, StopTime: 400 * time.Millisecond, RestoreTime: 200 * time.Millisecond,
			MaxLease: 6 * time.Second, DrainTime: 3 * time.Second, StatusRetention: time.Hour},
	}
	for i := range machines {
		w.addWorker(fmt.Sprintf("s%02d", i), i)
	}
	w.elect()
	return w
}

func (w *simulation) addWorker(id string, number int) *simulatedWorker {
	m := &simulatedWorker{
		Instance: workerclient.Instance{ID: workerclient.WorkerID(id), Service: "x", Capacity: job.Resources{Processors: 8000, MemoryMB: 8000, Accelerators: 4},
			Labels: []string{[]string{"a", "b"}[number%2], fmt.Sprintf("rack%d", number/3)}},
		running: map[job.TaskID]*simulatedAttempt{}, closedAttempts: map[job.TaskID]uint64{}, up: true,
	}
	w.workers = append(w.workers, m)
	return m
}

func (w *simulation) clock() Now {
	at := w.startTime.Add(w.elapsed)
	return Now{Monotonic: at, WallMS: at.UnixMilli()}
}

// elect begins a new leadership from what is durable; what was not is lost.
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
	for _, m := range w.workers {
		m.reachabilityKnown = false
	}
	w.sendInventory()
}

func (w *simulation) sendInventory() {
	var instances []workerclient.Instance
	for _, m := range w.workers {
		if m.up {
			instances = append(instances, m.Instance)
		}
	}
	w.scheduler.SetInventory(w.clock(), instances)
	w.propose()
}

// propose takes what the scheduler wants done; it is durable a little later.
func (w *simulation) propose() {
	w.scheduler.Dispatch(w.clock())
	effects := w.scheduler.TakeEffects()
	if !effects.Empty() {
		w.inFlight = append(w.inFlight, proposal{w.elapsed + 15*time.Millisecond, effects})
	}
}

func (w *simulation) worker(id workerclient.WorkerID) *simulatedWorker {
	at := slices.IndexFunc(w.workers, func(m *simulatedWorker) bool { return m.ID == id })
	if at < 0 {
		return nil
	}
	return w.workers[at]
}

// step moves the world on by a little.
func (w *simulation) step() {
	w.elapsed += 20 * time.Millisecond
	for len(w.inFlight) > 0 && w.inFlight[0].at <= w.elapsed {
		effects := w.inFlight[0].effects
		w.inFlight = w.inFlight[1:]
		w.commit(effects)
	}
	w.deliverEvents()
	for _, m := range w.workers {
		w.runAttempts(m)
		w.sendReport(m)
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
		m := w.worker(command.Worker)
		if m == nil {
			continue
		}
		if command.Stop != nil {
			w.sendStop(m, *command.Stop, w.epoch, w.scheduler)
			continue
		}
		if w.scheduler.StillWanted(command.Worker, command.Start) {
			w.sendStart(m, *command.Start, w.epoch, w.scheduler)
		}
	}
	for _, acknowledgement := range effects.Acknowledgements {
		m := w.worker(acknowledgement.Worker)
		if m != nil && !m.partitioned && m.up {
			w.acknowledge(m, acknowledgement.CompletionNumber)
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

func (w *simulation) acknowledge(m *simulatedWorker, number uint64) {
	for _, completion := range m.completions {
		if completion.CompletionNumber > number || completion.CompletionNumber <= m.acknowledged {
			continue
		}
		facts := w.facts(completion.Task)
		facts.doneAcknowledged = facts.doneAcknowledged || completion.How == job.OutcomeDone
		if completion.How == job.OutcomeFailed {
			facts.failuresAcknowledged[completion.AttemptNumber] = true
		}
	}
	m.acknowledged = max(m.acknowledged, number)
	m.completions = slices.DeleteFunc(m.completions, func(completion workerclient.FinishedTask) bool { return completion.CompletionNumber <= m.acknowledged })
}

func (w *simulation) facts(id job.TaskID) *taskFacts {
	if w.tasks[id] == nil {
		w.tasks[id] = &taskFacts{failuresAcknowledged: map[uint64]bool{}}
	}
	return w.tasks[id]
}

func (w *simulation) sendStart(m *simulatedWorker, command workerclient.StartCommand, epoch uint64, sender *Scheduler) {
	result := workerclient.StartResult{Worker: m.ID, Command: command, Outcome: workerclient.Unclear}
	wait := time.Duration(w.random.IntN(30)) * time.Millisecond
	if m.partitioned || !m.up {
		w.after(900*time.Millisecond, func() { w.startResult(result, sender) })
		return
	}
	validUntil := w.elapsed + w.settings.MaxLease
	if w.random.Float64() < w.lateShare {
		late := 2*time.Second + time.Duration(w.random.Int64N(int64(10*time.Second)))
		w.after(late, func() { w.executeStart(m, command, epoch, validUntil, true) })
		w.after(900*time.Millisecond, func() { w.startResult(result, sender) })
		return
	}
	w.after(wait, func() {
		result.Outcome = w.executeStart(m, command, epoch, validUntil, false)
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

// executeStart carries a start out at a machine, as a worker does.
func (w *simulation) executeStart(m *simulatedWorker, command workerclient.StartCommand, epoch uint64, validUntil time.Duration, late bool) workerclient.StartOutcome {
	if !m.up {
		return workerclient.Unclear
	}
	if epoch < m.fencingToken {
		return workerclient.RejectedFencingToken
	}
	m.fencingToken = epoch
	if m.leaseEnd = max(m.leaseEnd, min(validUntil, w.elapsed+w.settings.MaxLease)); validUntil <= w.elapsed {
		return workerclient.RejectedLeaseExpired
	}
	if command.AttemptNumber <= m.closedAttempts[command.Task] {
		return workerclient.RejectedStaleAttempt
	}
	if already := m.running[command.Task]; already != nil {
		return workerclient.Started
	}
	facts := w.jobs[command.Task.Job]
	if facts == nil {
		w.violation("UNASKED %v", command.Task)
		return workerclient.RejectedInvalid
	}
	stage := &facts.request.Specification.Stages[command.Task.Stage]
	if !m.free(w).Fits(stage.Resources) {
		w.violation("LIMIT %v at %s", command.Task, m.ID)
		return workerclient.RejectedCapacity
	}
	w.checkStart(m, command, facts, stage, late)
	length := facts.lengths[command.Task]
	run := &simulatedAttempt{number: command.AttemptNumber, outcome: job.OutcomeDone, startedAt: w.elapsed, length: length, endsAt: w.elapsed + length}
	if facts.poison || m.failing {
		run.outcome, run.endsAt = job.OutcomeFailed, w.elapsed+length/2
	}
	if stage.LongRunning {
		run.endsAt = w.elapsed + time.Hour
	}
	m.running[command.Task] = run
	return workerclient.Started
}

func (m *simulatedWorker) free(w *simulation) job.Resources {
	left := m.Capacity
	for id := range m.running {
		left = left.Subtract(w.jobs[id.Job].request.Specification.Stages[id.Stage].Resources)
	}
	return left
}

func (w *simulation) violation(format string, values ...any) {
	w.violations = append(w.violations, fmt.Sprintf("at %v: ", w.elapsed)+fmt.Sprintf(format, values...))
}

// outcomeOf checks one start. Promises with a time bound do not cover starts that a worker carried out late.
func (w *simulation) checkStart(m *simulatedWorker, command workerclient.StartCommand, facts *jobFacts, stage *job.Stage, late bool) {
	id := command.Task
	own := w.facts(id)
	if !stage.AtLeastOnce {
		for _, other := range w.workers {
			if other != m && other.up && other.running[id] != nil {
				w.violation("TWICE %v at %s and %s", id, other.ID, m.ID)
			}
		}
		if own.doneAcknowledged && !stage.LongRunning {
			w.violation("TWICE %v starts after it was done", id)
		}
	}
	if len(own.failuresAcknowledged) >= facts.request.Queue.MaxAttempts && !stage.LongRunning && !(late && stage.AtLeastOnce) {
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
		if !slices.Contains(m.Labels, label) {
			w.violation("ROUTE %v at %s", id, m.ID)
		}
	}
	same := 0
	for other := range m.running {
		if other.Job == id.Job && other.Repetition == id.Repetition && other.Stage == id.Stage {
			same++
		}
	}
	if stage.AntiAffinity > 0 && same >= stage.AntiAffinity {
		w.violation("ROUTE %v beyond antiAffinity at %s", id, m.ID)
	}
	if !late && facts.cancelledAt > 0 && w.elapsed > facts.cancelledAt+3*time.Second {
		w.violation("UNASKED %v starts after it was cancelled", id)
	}
	if command.AttemptNumber <= own.lastAttempt && !stage.AtLeastOnce {
		w.violation("execution %d of %v does not rise", command.AttemptNumber, id)
	}
	own.lastAttempt = max(own.lastAttempt, command.AttemptNumber)
}

func (w *simulation) sendStop(m *simulatedWorker, command workerclient.StopCommand, epoch uint64, sender *Scheduler) {
	w.after(10*time.Millisecond, func() {
		if sender != w.scheduler {
			return
		}
		if m.partitioned || !m.up {
			w.sendStop(m, command, epoch, sender) // until it is answered
			return
		}
		if epoch >= m.fencingToken {
			m.fencingToken = epoch
			if run := m.running[command.Task]; run != nil && run.number <= command.AttemptNumber {
				w.complete(m, command.Task, job.OutcomeStopped)
			}
			m.closedAttempts[command.Task] = max(m.closedAttempts[command.Task], command.AttemptNumber)
		}
		w.scheduler.HandleStopResult(w.clock(), &workerclient.StopResult{Worker: m.ID, Command: command, Answered: true, At: w.clock().Monotonic})
		w.propose()
	})
}

// completion ends a run and, as its workers do, the other members of its gang.
func (w *simulation) complete(m *simulatedWorker, id job.TaskID, how job.Outcome) {
	run := m.running[id]
	delete(m.running, id)
	m.closedAttempts[id] = max(m.closedAttempts[id], run.number)
	number := m.acknowledged + 1
	if len(m.completions) > 0 {
		number = m.completions[len(m.completions)-1].CompletionNumber + 1
	}
	m.completions = append(m.completions, workerclient.FinishedTask{CompletionNumber: number, Task: id, AttemptNumber: run.number, How: how})
	stage := &w.jobs[id.Job].request.Specification.Stages[id.Stage]
	if how == job.OutcomeDone {
		w.facts(id).done = true
	}
	if !stage.GangScheduled {
		return
	}
	others := job.OutcomeGangBroken
	if how == job.OutcomeDone {
		others = job.OutcomeDone
	}
	for _, other := range w.workers {
		for _, member := range sortedTasks(other.running) {
			if member.Job == id.Job && member.Stage == id.Stage && member.Repetition == id.Repetition && other.running[member] != nil && other.running[member].number == run.number {
				w.complete(other, member, others)
			}
		}
	}
}

func sortedTasks(running map[job.TaskID]*simulatedAttempt) []job.TaskID {
	return slices.SortedFunc(maps.Keys(running), compareTaskIDs)
}

func (w *simulation) runAttempts(m *simulatedWorker) {
	if !m.up {
		return
	}
	if w.elapsed >= m.leaseEnd {
		for _, id := range sortedTasks(m.running) {
			if m.running[id] != nil {
				w.complete(m, id, job.OutcomeLeaseExpired)
			}
		}
		return
	}
	for _, id := range sortedTasks(m.running) {
		if run := m.running[id]; run != nil && !run.stuck && run.endsAt <= w.elapsed && w.isGangComplete(id, run.number) {
			w.complete(m, id, run.outcome)
		}
	}
}

// isGangComplete tells whether all members of a run are there.
func (w *simulation) isGangComplete(id job.TaskID, number uint64) bool {
	stage := &w.jobs[id.Job].request.Specification.Stages[id.Stage]
	if !stage.GangScheduled {
		return true
	}
	there := 0
	for _, m := range w.workers {
		for other, run := range m.running {
			if other.Job == id.Job && other.Stage == id.Stage && other.Repetition == id.Repetition && run.number == number {
				there++
			}
		}
	}
	return there == stage.Count
}

// sendReport lets a machine that is due answer a hold.
func (w *simulation) sendReport(m *simulatedWorker) {
	if w.elapsed-m.reportedAt < 300*time.Millisecond && m.reachabilityKnown {
		return
	}
	m.reportedAt = w.elapsed
	if !m.up {
		return
	}
	if m.partitioned {
		w.unreachable(m)
		return
	}
	m.reachabilityKnown = true
	m.fencingToken = max(m.fencingToken, w.epoch)
	m.leaseEnd = max(m.leaseEnd, w.elapsed+w.settings.MaxLease)
	m.grantedUntil = m.leaseEnd
	listing := workerclient.Listing{Worker: m.ID, SentAt: w.clock().Monotonic, First: m.reportedEpoch != w.epoch, Finished: slices.Clone(m.completions)}
	m.reportedEpoch = w.epoch
	for _, id := range sortedTasks(m.running) {
		run := m.running[id]
		percent := int(99 * (w.elapsed - run.startedAt) / max(run.length, 1))
		if run.stuck {
			percent = 0
		}
		listing.Running = append(listing.Running, workerclient.RunningTask{Task: id, AttemptNumber: run.number, Percent: min(percent, 99)})
	}
	w.scheduler.HandleReport(w.clock(), &listing)
	w.propose()
}

func (w *simulation) unreachable(m *simulatedWorker) {
	if !m.reachabilityKnown {
		return
	}
	w.scheduler.SetReachable(w.clock(), m.ID, false)
	if w.elapsed > m.grantedUntil+LateCommandWindow+7*time.Second {
		w.scheduler.ExpireLease(w.clock(), m.ID)
	}
	w.propose()
}

func (w *simulation) crash(m *simulatedWorker, successor string) {
	m.up = false
	w.addWorker(successor, len(w.workers))
	w.after(time.Second, func() {
		w.scheduler.RemoveWorker(w.clock(), m.ID)
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

// resubmit hands a job in until it is durable, as clients do.
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
	r := w.random
	facts := &jobFacts{poison: r.IntN(12) == 0}
	request := jobapi.Submit{Group: "jobs/x", ID: job.ID(fmt.Sprintf("%016x", number)),
		Queue: jobapi.Queue{Route: "r", Service: "x", Priority: r.IntN(3), MaxAttempts: 2 + r.IntN(3), TargetLatencyMS: 500}}
	if r.IntN(8) == 0 {
		request.Specification.Repetitions = 1 + r.IntN(3)
		request.Specification.FirstRunMS = w.clock().WallMS + int64(r.IntN(3000))
		request.Specification.IntervalMS = 700
	}
	for i := range 1 + r.IntN(3) {
		stage := job.Stage{Count: 1 + r.IntN(6), EstimatedDurationMS: 500,
			Resources: job.Resources{Processors: int64(500 + r.IntN(3500)), MemoryMB: int64(100 + r.IntN(2000)), Accelerators: int64(r.IntN(2))}}
		if i > 0 && r.IntN(3) > 0 {
			stage.DependsOn = []int{r.IntN(i)}
		}
		switch r.IntN(8) {
		case 0:
			stage.GangScheduled, stage.SameRack = true, r.IntN(2) == 0
		case 1:
			stage.AtLeastOnce = true
		case 2:
			stage.AntiAffinity = 1 + r.IntN(2)
		case 3:
			stage.Requirements = job.Labels{[]string{"a", "b"}[r.IntN(2)]}
		case 4:
			stage.Affinity = "rack1"
		}
		request.Specification.Stages = append(request.Specification.Stages, stage)
	}
	facts.request = request
	return facts
}
