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

// world plays workers, a replicated state and a leadership that may be replaced, in virtual time, and judges every
// start against the promises that jobs have. It knows nothing of the scheduler's state.
type world struct {
	random    *rand.Rand
	settings  Settings
	begin     time.Time
	now       time.Duration
	scheduler *Scheduler
	epoch     uint64
	durable   map[string][]byte
	flight    []batch // proposed, not durable yet
	machines  []*machine
	events    []timed // what arrives later
	tasks     map[job.TaskID]*taskFacts
	jobs      map[job.ID]*jobFacts
	broken    []string

	lateShare  float64 // of starts that get no answer and are carried out late
	lostRecord bool    // mutant: records are not kept
}

type batch struct {
	at      time.Duration
	effects Effects
}

type timed struct {
	at time.Duration
	do func()
}

// machine is one life of a worker.
type machine struct {
	workerclient.Instance
	fence     uint64
	running   map[job.TaskID]*execution
	ends      []workerclient.FinishedTask
	lastSeen  uint64
	closed    map[job.TaskID]uint64 // highest run that was stopped or has ended here
	holdUntil time.Duration
	cut       bool
	up        bool
	listedAt  time.Duration
	grantedBy time.Duration // when everything granted has lapsed, as the leader knows
	failing   bool
	told      bool   // the scheduler knows whether it is reachable
	fenced    uint64 // epoch whose leader has had a report
}

type execution struct {
	number uint64
	ends   time.Duration
	how    job.Outcome
	began  time.Duration
	length time.Duration
	stuck  bool
}

type taskFacts struct {
	doneNoted  bool
	done       bool
	failNoted  map[uint64]bool
	executions uint64
}

type jobFacts struct {
	request     jobapi.Submit
	poison      bool
	cancelledAt time.Duration // 0: never
	lengths     map[job.TaskID]time.Duration
}

func newWorld(seed uint64, machines int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), begin: time.Unix(1_700_000_000, 0), durable: map[string][]byte{},
		tasks: map[job.TaskID]*taskFacts{}, jobs: map[job.ID]*jobFacts{}, epoch: 1,
		settings: Settings{RemoteFactor: 2, StopTime: 400 * time.Millisecond, RestoreTime: 200 * time.Millisecond,
			MaxLease: 6 * time.Second, DrainTime: 3 * time.Second, StatusRetention: time.Hour},
	}
	for i := range machines {
		w.addMachine(fmt.Sprintf("s%02d", i), i)
	}
	w.elect()
	return w
}

func (w *world) addMachine(id string, number int) *machine {
	m := &machine{
		Instance: workerclient.Instance{ID: workerclient.WorkerID(id), Service: "x", Capacity: job.Resources{Processors: 8000, MemoryMB: 8000, Accelerators: 4},
			Labels: []string{[]string{"a", "b"}[number%2], fmt.Sprintf("rack%d", number/3)}},
		running: map[job.TaskID]*execution{}, closed: map[job.TaskID]uint64{}, up: true,
	}
	w.machines = append(w.machines, m)
	return m
}

func (w *world) clock() Now {
	at := w.begin.Add(w.now)
	return Now{Monotonic: at, WallMS: at.UnixMilli()}
}

// elect begins a new leadership from what is durable; what was not is lost.
func (w *world) elect() {
	if w.scheduler != nil {
		w.epoch++
	}
	w.flight = nil
	next, err := New(w.settings, w.clock(), maps.Clone(w.durable))
	if err != nil {
		panic(err)
	}
	w.scheduler = next
	for _, m := range w.machines {
		m.told = false
	}
	w.inventory()
}

func (w *world) inventory() {
	var instances []workerclient.Instance
	for _, m := range w.machines {
		if m.up {
			instances = append(instances, m.Instance)
		}
	}
	w.scheduler.SetInventory(w.clock(), instances)
	w.propose()
}

// propose takes what the scheduler wants done; it is durable a little later.
func (w *world) propose() {
	w.scheduler.Dispatch(w.clock())
	effects := w.scheduler.TakeEffects()
	if !effects.Empty() {
		w.flight = append(w.flight, batch{w.now + 15*time.Millisecond, effects})
	}
}

func (w *world) machine(id workerclient.WorkerID) *machine {
	at := slices.IndexFunc(w.machines, func(m *machine) bool { return m.ID == id })
	if at < 0 {
		return nil
	}
	return w.machines[at]
}

// step moves the world on by a little.
func (w *world) step() {
	w.now += 20 * time.Millisecond
	for len(w.flight) > 0 && w.flight[0].at <= w.now {
		effects := w.flight[0].effects
		w.flight = w.flight[1:]
		w.commit(effects)
	}
	w.arrive()
	for _, m := range w.machines {
		w.work(m)
		w.report(m)
	}
	if w.now%(200*time.Millisecond) == 0 {
		w.scheduler.Tick(w.clock())
		w.propose()
	}
}

func (w *world) arrive() {
	due := slices.DeleteFunc(slices.Clone(w.events), func(e timed) bool { return e.at > w.now })
	w.events = slices.DeleteFunc(w.events, func(e timed) bool { return e.at <= w.now })
	for _, e := range due {
		e.do()
	}
}

func (w *world) commit(effects Effects) {
	if !w.lostRecord {
		w.apply(effects.Entries)
	}
	for _, command := range effects.Commands {
		m := w.machine(command.Worker)
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
		m := w.machine(acknowledgement.Worker)
		if m != nil && !m.cut && m.up {
			w.acknowledge(m, acknowledgement.CompletionNumber)
		}
	}
}

func (w *world) apply(entries []replication.Entry) {
	for _, entry := range entries {
		if entry.Value == nil {
			delete(w.durable, entry.Key)
			continue
		}
		w.durable[entry.Key] = entry.Value
	}
}

func (w *world) acknowledge(m *machine, number uint64) {
	for _, completion := range m.ends {
		if completion.CompletionNumber > number || completion.CompletionNumber <= m.lastSeen {
			continue
		}
		facts := w.facts(completion.Task)
		facts.doneNoted = facts.doneNoted || completion.How == job.OutcomeDone
		if completion.How == job.OutcomeFailed {
			facts.failNoted[completion.AttemptNumber] = true
		}
	}
	m.lastSeen = max(m.lastSeen, number)
	m.ends = slices.DeleteFunc(m.ends, func(completion workerclient.FinishedTask) bool { return completion.CompletionNumber <= m.lastSeen })
}

func (w *world) facts(id job.TaskID) *taskFacts {
	if w.tasks[id] == nil {
		w.tasks[id] = &taskFacts{failNoted: map[uint64]bool{}}
	}
	return w.tasks[id]
}

func (w *world) sendStart(m *machine, command workerclient.StartCommand, epoch uint64, sender *Scheduler) {
	result := workerclient.StartResult{Worker: m.ID, Command: command, Outcome: workerclient.Unclear}
	wait := time.Duration(w.random.IntN(30)) * time.Millisecond
	if m.cut || !m.up {
		w.after(900*time.Millisecond, func() { w.startResult(result, sender) })
		return
	}
	validUntil := w.now + w.settings.MaxLease
	if w.random.Float64() < w.lateShare {
		late := 2*time.Second + time.Duration(w.random.Int64N(int64(10*time.Second)))
		w.after(late, func() { w.carryOut(m, command, epoch, validUntil, true) })
		w.after(900*time.Millisecond, func() { w.startResult(result, sender) })
		return
	}
	w.after(wait, func() {
		result.Outcome = w.carryOut(m, command, epoch, validUntil, false)
		w.after(5*time.Millisecond, func() { w.startResult(result, sender) })
	})
}

func (w *world) startResult(result workerclient.StartResult, sender *Scheduler) {
	if sender != w.scheduler {
		return
	}
	result.At = w.clock().Monotonic
	w.scheduler.HandleStartResult(w.clock(), &result)
	w.propose()
}

func (w *world) after(pause time.Duration, do func()) {
	w.events = append(w.events, timed{w.now + pause, do})
}

// carryOut carries a start out at a machine, as a worker does.
func (w *world) carryOut(m *machine, command workerclient.StartCommand, epoch uint64, validUntil time.Duration, late bool) workerclient.StartOutcome {
	if !m.up {
		return workerclient.Unclear
	}
	if epoch < m.fence {
		return workerclient.RejectedFencingToken
	}
	m.fence = epoch
	if m.holdUntil = max(m.holdUntil, min(validUntil, w.now+w.settings.MaxLease)); validUntil <= w.now {
		return workerclient.RejectedLeaseExpired
	}
	if command.AttemptNumber <= m.closed[command.Task] {
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
	w.judge(m, command, facts, stage, late)
	length := facts.lengths[command.Task]
	run := &execution{number: command.AttemptNumber, how: job.OutcomeDone, began: w.now, length: length, ends: w.now + length}
	if facts.poison || m.failing {
		run.how, run.ends = job.OutcomeFailed, w.now+length/2
	}
	if stage.LongRunning {
		run.ends = w.now + time.Hour
	}
	m.running[command.Task] = run
	return workerclient.Started
}

func (m *machine) free(w *world) job.Resources {
	left := m.Capacity
	for id := range m.running {
		left = left.Subtract(w.jobs[id.Job].request.Specification.Stages[id.Stage].Resources)
	}
	return left
}

func (w *world) violation(format string, values ...any) {
	w.broken = append(w.broken, fmt.Sprintf("at %v: ", w.now)+fmt.Sprintf(format, values...))
}

// outcomeOf checks one start. Promises with a time bound do not cover starts that a worker carried out late.
func (w *world) judge(m *machine, command workerclient.StartCommand, facts *jobFacts, stage *job.Stage, late bool) {
	id := command.Task
	own := w.facts(id)
	if !stage.AtLeastOnce {
		for _, other := range w.machines {
			if other != m && other.up && other.running[id] != nil {
				w.violation("TWICE %v at %s and %s", id, other.ID, m.ID)
			}
		}
		if own.doneNoted && !stage.LongRunning {
			w.violation("TWICE %v starts after it was done", id)
		}
	}
	if len(own.failNoted) >= facts.request.Queue.MaxAttempts && !stage.LongRunning && !(late && stage.AtLeastOnce) {
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
	if !late && facts.cancelledAt > 0 && w.now > facts.cancelledAt+3*time.Second {
		w.violation("UNASKED %v starts after it was cancelled", id)
	}
	if command.AttemptNumber <= own.executions && !stage.AtLeastOnce {
		w.violation("execution %d of %v does not rise", command.AttemptNumber, id)
	}
	own.executions = max(own.executions, command.AttemptNumber)
}

func (w *world) sendStop(m *machine, command workerclient.StopCommand, epoch uint64, sender *Scheduler) {
	w.after(10*time.Millisecond, func() {
		if sender != w.scheduler {
			return
		}
		if m.cut || !m.up {
			w.sendStop(m, command, epoch, sender) // until it is answered
			return
		}
		if epoch >= m.fence {
			m.fence = epoch
			if run := m.running[command.Task]; run != nil && run.number <= command.AttemptNumber {
				w.end(m, command.Task, job.OutcomeStopped)
			}
			m.closed[command.Task] = max(m.closed[command.Task], command.AttemptNumber)
		}
		w.scheduler.HandleStopResult(w.clock(), &workerclient.StopResult{Worker: m.ID, Command: command, Answered: true, At: w.clock().Monotonic})
		w.propose()
	})
}

// completion ends a run and, as its workers do, the other members of its gang.
func (w *world) end(m *machine, id job.TaskID, how job.Outcome) {
	run := m.running[id]
	delete(m.running, id)
	m.closed[id] = max(m.closed[id], run.number)
	number := m.lastSeen + 1
	if len(m.ends) > 0 {
		number = m.ends[len(m.ends)-1].CompletionNumber + 1
	}
	m.ends = append(m.ends, workerclient.FinishedTask{CompletionNumber: number, Task: id, AttemptNumber: run.number, How: how})
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
	for _, other := range w.machines {
		for _, member := range sortedTasks(other.running) {
			if member.Job == id.Job && member.Stage == id.Stage && member.Repetition == id.Repetition && other.running[member] != nil && other.running[member].number == run.number {
				w.end(other, member, others)
			}
		}
	}
}

func sortedTasks(running map[job.TaskID]*execution) []job.TaskID {
	return slices.SortedFunc(maps.Keys(running), compareTaskIDs)
}

func (w *world) work(m *machine) {
	if !m.up {
		return
	}
	if w.now >= m.holdUntil {
		for _, id := range sortedTasks(m.running) {
			if m.running[id] != nil {
				w.end(m, id, job.OutcomeLeaseExpired)
			}
		}
		return
	}
	for _, id := range sortedTasks(m.running) {
		if run := m.running[id]; run != nil && !run.stuck && run.ends <= w.now && w.wholeGang(id, run.number) {
			w.end(m, id, run.how)
		}
	}
}

// wholeGang tells whether all members of a run are there.
func (w *world) wholeGang(id job.TaskID, number uint64) bool {
	stage := &w.jobs[id.Job].request.Specification.Stages[id.Stage]
	if !stage.GangScheduled {
		return true
	}
	there := 0
	for _, m := range w.machines {
		for other, run := range m.running {
			if other.Job == id.Job && other.Stage == id.Stage && other.Repetition == id.Repetition && run.number == number {
				there++
			}
		}
	}
	return there == stage.Count
}

// report lets a machine that is due answer a hold.
func (w *world) report(m *machine) {
	if w.now-m.listedAt < 300*time.Millisecond && m.told {
		return
	}
	m.listedAt = w.now
	if !m.up {
		return
	}
	if m.cut {
		w.unreachable(m)
		return
	}
	m.told = true
	m.fence = max(m.fence, w.epoch)
	m.holdUntil = max(m.holdUntil, w.now+w.settings.MaxLease)
	m.grantedBy = m.holdUntil
	listing := workerclient.Listing{Worker: m.ID, SentAt: w.clock().Monotonic, First: m.fenced != w.epoch, Finished: slices.Clone(m.ends)}
	m.fenced = w.epoch
	for _, id := range sortedTasks(m.running) {
		run := m.running[id]
		percent := int(99 * (w.now - run.began) / max(run.length, 1))
		if run.stuck {
			percent = 0
		}
		listing.Running = append(listing.Running, workerclient.RunningTask{Task: id, AttemptNumber: run.number, Percent: min(percent, 99)})
	}
	w.scheduler.HandleReport(w.clock(), &listing)
	w.propose()
}

func (w *world) unreachable(m *machine) {
	if !m.told {
		return
	}
	w.scheduler.SetReachable(w.clock(), m.ID, false)
	if w.now > m.grantedBy+LateCommandWindow+7*time.Second {
		w.scheduler.ExpireLease(w.clock(), m.ID)
	}
	w.propose()
}

func (w *world) crash(m *machine, successor string) {
	m.up = false
	w.addMachine(successor, len(w.machines))
	w.after(time.Second, func() {
		w.scheduler.RemoveWorker(w.clock(), m.ID)
		w.propose()
		w.inventory()
	})
}

func (w *world) submit(facts *jobFacts) {
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
func (w *world) resubmit(facts *jobFacts) {
	if w.durable[jobKey(facts.request.ID)] != nil || w.durable[endedKey(facts.request.ID)] != nil {
		return
	}
	w.scheduler.Submit(w.clock(), &facts.request)
	w.propose()
	w.after(500*time.Millisecond, func() { w.resubmit(facts) })
}

func (w *world) cancel(facts *jobFacts) {
	if w.durable[endedKey(facts.request.ID)] != nil {
		if facts.cancelledAt == 0 {
			facts.cancelledAt = w.now
		}
		return
	}
	w.scheduler.Cancel(w.clock(), facts.request.ID)
	w.propose()
	w.after(500*time.Millisecond, func() { w.cancel(facts) })
}

func (w *world) randomJob(number int) *jobFacts {
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
