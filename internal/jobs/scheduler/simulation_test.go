package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/jobs/job"
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

	savedCheckpoints map[string]job.TaskID  // tasks by the checkpoints that they have saved
	gangCheckpoints  map[gangAttempt]string // checkpoint in the first start of each gang attempt

	lateStartProbability float64 // fraction of starts that get no response and are executed late
	dropRecords          bool    // discards all records, to test that the checks detect it
	comparisons          int     // number of steps in which the restored state was compared

	maxInventoryDelay time.Duration                  // longest time until a new leader has read the list of workers, page by page
	inventoryReadAt   time.Duration                  // when the current leader has read it
	linked            map[workerclient.WorkerID]bool // workers to which the current leader has a link
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

// taskHistory is what has happened to a task, as observed at the workers.
type taskHistory struct {
	completionAcknowledged bool
	completed              bool
	failuresAcknowledged   map[uint64]bool
	lastAttempt            uint64
}

func newSimulation(seed uint64, machines int) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), startTime: time.Unix(1_700_000_000, 0), durable: map[string][]byte{},
		taskHistories: map[job.TaskID]*taskHistory{}, jobs: map[job.ID]*simulatedJob{}, epoch: 1,
		savedCheckpoints: map[string]job.TaskID{}, gangCheckpoints: map[gangAttempt]string{},
		settings: Settings{RemoteSlowdown: 2, MaxStopDuration: 400 * time.Millisecond, RestoreDuration: 200 * time.Millisecond,
			MaxLease: 6 * time.Second, MinDrainDuration: 3 * time.Second, StatusRetention: time.Hour},
	}
	for i := range machines {
		sim.addWorker(fmt.Sprintf("s%02d", i), i)
	}
	sim.startLeadership()
	return sim
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
	sim.linked = map[workerclient.WorkerID]bool{}
	for _, worker := range sim.workers {
		worker.reachabilityKnown = false
	}
	if sim.maxInventoryDelay > 0 {
		sim.readInventory()
		return
	}
	sim.sendInventory()
}

// readInventory delivers the list of workers to a new leader, one worker a page, in random order and at random times.
func (sim *simulation) readInventory() {
	reader := sim.scheduler
	sim.inventoryReadAt = sim.elapsed + time.Duration(sim.random.Int64N(int64(sim.maxInventoryDelay)))
	for _, index := range sim.random.Perm(len(sim.workers)) {
		worker := sim.workers[index]
		sim.schedule(time.Duration(sim.random.Int64N(int64(sim.inventoryReadAt-sim.elapsed+1))), func() {
			if reader == sim.scheduler && worker.up {
				sim.openLink(worker)
				reader.AddInventoryPage(sim.clock(), []workerclient.Instance{worker.Instance})
				sim.propose()
			}
		})
	}
	sim.schedule(sim.inventoryReadAt-sim.elapsed, func() {
		if reader == sim.scheduler {
			sim.sendInventory()
		}
	})
}

// openLink opens a link to a worker. With a late inventory, the worker's first report is late as well.
func (sim *simulation) openLink(worker *simulatedWorker) {
	if sim.linked[worker.ID] {
		return
	}
	sim.linked[worker.ID] = true
	if sim.maxInventoryDelay > 0 {
		worker.reportsFrom = sim.elapsed + time.Duration(sim.random.Int64N(int64(maxFirstReportDelay)))
	}
}

// sendInventory delivers the complete list of workers, unless the leader is still reading it.
func (sim *simulation) sendInventory() {
	if sim.elapsed < sim.inventoryReadAt {
		return
	}
	var instances []workerclient.Instance
	for _, worker := range sim.workers {
		if worker.up {
			instances = append(instances, worker.Instance)
			sim.openLink(worker)
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
	if sim.maxInventoryDelay > 0 && sim.elapsed%time.Second == 0 {
		sim.sendInventory()
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
		if worker == nil || !sim.linked[command.Worker] {
			sim.dropCommand(&command)
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
		if worker != nil && sim.linked[worker.ID] && !worker.partitioned && worker.up {
			sim.acknowledge(worker, acknowledgement.CompletionNumber)
		}
	}
}

// dropCommand reports a command to a worker without a link as not sent, as package manager does.
func (sim *simulation) dropCommand(command *Command) {
	at := sim.clock().Monotonic
	if command.Stop != nil {
		sim.scheduler.HandleStopResult(&workerclient.StopResult{Worker: command.Worker, Command: *command.Stop, At: at})
		return
	}
	sim.scheduler.HandleStartResult(sim.clock(), &workerclient.StartResult{Worker: command.Worker, Command: *command.Start, Outcome: workerclient.NotSent, At: at})
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

func (sim *simulation) taskHistory(id job.TaskID) *taskHistory {
	if sim.taskHistories[id] == nil {
		sim.taskHistories[id] = &taskHistory{failuresAcknowledged: map[uint64]bool{}}
	}
	return sim.taskHistories[id]
}

func (sim *simulation) schedule(delay time.Duration, run func()) {
	sim.events = append(sim.events, timedEvent{sim.elapsed + delay, run})
}

func (sim *simulation) recordViolation(format string, values ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("at %v: ", sim.elapsed)+fmt.Sprintf(format, values...))
}

// gangAttempt identifies an attempt of a gang by its first member and the attempt number.
type gangAttempt struct {
	firstMember job.TaskID
	number      uint64
}

// checkCheckpoint checks the checkpoint of a start: a task resumes from one of its own, and the members of a gang all resume from
// the same one of any member.
func (sim *simulation) checkCheckpoint(command workerclient.StartCommand, stage *job.Stage) {
	saver, firstMember := sim.savedCheckpoints[command.Checkpoint], command.Task
	if stage.GangScheduled {
		saver.Index, firstMember.Index = 0, 0
	}
	if command.Checkpoint != "" && saver != firstMember {
		sim.recordViolation("%v resumes from %q, which is not its checkpoint", command.Task, command.Checkpoint)
	}
	if !stage.GangScheduled {
		return
	}
	attempt := gangAttempt{firstMember, command.AttemptNumber}
	if other, started := sim.gangCheckpoints[attempt]; started && other != command.Checkpoint {
		sim.recordViolation("members of attempt %d of %v resume from %q and %q", attempt.number, firstMember, other, command.Checkpoint)
	}
	sim.gangCheckpoints[attempt] = command.Checkpoint
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
	sim.checkCheckpoint(command, stage)
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
