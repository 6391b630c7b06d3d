package scheduler

import (
	"cmp"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

const (
	storedFolder         = "testdata/stored"
	storedDump           = "testdata/stored.json"  // contents of the tables, values in hexadecimal
	restoredSummary      = "testdata/restored.txt" // summary of the state that schedulers restore from the tables
	updateGoldenVariable = "GOLDEN_UPDATE"         // environment variable; if it is 1, the stored data is regenerated
	storedRender         = "group/jobs/render"     // table of the first group
	storedMail           = "group/jobs/mail"       // table of the second group
)

var (
	storedSettings = Settings{RemoteSlowdown: 2, MaxStopDuration: 400 * time.Millisecond, RestoreDuration: 200 * time.Millisecond,
		MaxLease: 6 * time.Second, MinDrainDuration: 3 * time.Second, StatusRetention: time.Hour}
	storedStartTime = time.UnixMilli(1_700_000_000_000).UTC()
)

// storedGroup simulates the leadership of one group, whose records are stored in one table.
type storedGroup struct {
	table            string
	store            storage.Store
	scheduler        *Scheduler
	now              time.Time
	assignedTo       map[job.TaskID]workerclient.WorkerID
	attemptNumbers   map[job.TaskID]uint64
	completionCounts map[workerclient.WorkerID]uint64
}

func newStoredGroup(table string, store storage.Store, workers ...string) *storedGroup {
	g := &storedGroup{table: table, store: store, now: storedStartTime, assignedTo: map[job.TaskID]workerclient.WorkerID{},
		attemptNumbers: map[job.TaskID]uint64{}, completionCounts: map[workerclient.WorkerID]uint64{}}
	var err error
	if g.scheduler, err = New(storedSettings, g.clock(), nil); err != nil {
		panic(err) // cannot fail: there are no records to decode
	}
	var instances []workerclient.Instance
	for i, id := range workers {
		instances = append(instances, workerclient.Instance{ID: workerclient.WorkerID(id), Service: "x",
			Capacity: job.Resources{Processors: 8000, MemoryMB: 8000, Accelerators: 4}, Labels: []string{"kind", fmt.Sprint("rack-", i)}})
	}
	g.scheduler.SetInventory(g.clock(), instances)
	for _, id := range workers {
		g.scheduler.HandleReport(g.clock(), &workerclient.Listing{Worker: workerclient.WorkerID(id), SentAt: g.now, First: true})
	}
	g.commit()
	return g
}

func (g *storedGroup) clock() Now { return Now{Monotonic: g.now, WallMS: g.now.UnixMilli()} }

// commit dispatches tasks, stores the resulting records, and reports all starts as successful.
func (g *storedGroup) commit() {
	g.scheduler.Dispatch(g.clock())
	effects := g.scheduler.TakeEffects()
	var changes []storage.Change
	for _, entry := range effects.Entries {
		changes = append(changes, storage.Change{Table: g.table, Key: entry.Key, Value: entry.Value})
	}
	if err := g.store.Write(changes...); err != nil {
		panic(err)
	}
	for _, command := range effects.Commands {
		if command.Start == nil {
			continue
		}
		g.assignedTo[command.Start.Task], g.attemptNumbers[command.Start.Task] = command.Worker, command.Start.AttemptNumber
		g.scheduler.HandleStartResult(g.clock(), &workerclient.StartResult{Worker: command.Worker, Command: *command.Start, Outcome: workerclient.Started, At: g.now})
	}
}

func (g *storedGroup) advance(duration time.Duration) {
	g.now = g.now.Add(duration)
	g.scheduler.Tick(g.clock())
	g.commit()
}

func (g *storedGroup) submit(id job.ID, queue jobapi.Queue, specification job.Specification) {
	g.scheduler.Submit(g.clock(), &jobapi.SubmitRequest{ID: id, Queue: queue, Specification: specification})
	g.commit()
}

// complete reports a completion of a task's newest attempt.
func (g *storedGroup) complete(id job.ID, repetition, stage, index int, outcome job.Outcome, checkpoint string) {
	task := job.TaskID{Job: id, Repetition: repetition, Stage: stage, Index: index}
	worker := g.assignedTo[task]
	g.completionCounts[worker]++
	g.scheduler.HandleReport(g.clock(), &workerclient.Listing{Worker: worker, SentAt: g.now, Stale: true, Finished: []workerclient.FinishedTask{
		{CompletionNumber: g.completionCounts[worker], Task: task, AttemptNumber: g.attemptNumbers[task], Outcome: outcome, Checkpoint: checkpoint},
	}})
	g.commit()
}

const (
	waitingJob     = job.ID("0000000000000001")
	runningJob     = job.ID("0000000000000002")
	gangJob        = job.ID("0000000000000003")
	repeatedJob    = job.ID("0000000000000004")
	longRunningJob = job.ID("0000000000000005")
	stagesJob      = job.ID("0000000000000006")
	atLeastOnceJob = job.ID("0000000000000007")
	completedJob   = job.ID("0000000000000008")
	failedJob      = job.ID("0000000000000009")
	cancelledJob   = job.ID("000000000000000a")
)

// writeStoredJobs writes the records of two groups. They contain records of each kind, and jobs in each state.
func writeStoredJobs(store storage.Store) {
	queue := jobapi.Queue{Route: "render", Service: "render", Priority: 2, MaxAttempts: 3, Extension: 1.5, TargetLatencyMS: 700, EnforcesCapacity: true}
	oneTask := job.Stage{Count: 1, EstimatedDurationMS: 500, Resources: job.Resources{Processors: 1000, MemoryMB: 100}}
	specificationOf := func(stages ...job.Stage) job.Specification {
		return job.Specification{Text: "do \"it\"\n", Stages: stages}
	}
	g := newStoredGroup(storedRender, store, "w-1", "w-2", "w-3")
	waiting := job.Stage{Count: 2, Resources: job.Resources{Processors: 9000, MemoryMB: 70000, Accelerators: 5}, EstimatedDurationMS: 90000,
		Checkpoints: true, GangScheduled: true, SameRack: true, Requirements: job.Labels{"none", "kind"}, Affinity: "rack-1", AntiAffinity: 1,
		AtLeastOnce: true, LongRunning: true}
	dependent := waiting
	dependent.DependsOn = []int{0}
	g.submit(waitingJob, queue, specificationOf(waiting, dependent))
	checkpointing := oneTask
	checkpointing.Count, checkpointing.Checkpoints = 2, true
	g.submit(runningJob, queue, specificationOf(checkpointing))
	g.complete(runningJob, 0, 0, 0, job.OutcomeFailed, "save-1")
	g.advance(time.Second)
	gang := oneTask
	gang.Count, gang.GangScheduled, gang.Checkpoints = 2, true, true
	g.submit(gangJob, queue, specificationOf(gang))
	repeated := specificationOf(oneTask)
	repeated.Repetitions, repeated.FirstRunMS, repeated.IntervalMS = 4, g.now.UnixMilli(), 1000
	g.submit(repeatedJob, queue, repeated)
	g.complete(repeatedJob, 0, 0, 0, job.OutcomeDone, "")
	g.advance(time.Second)
	longRunning := oneTask
	longRunning.LongRunning = true
	g.submit(longRunningJob, queue, specificationOf(longRunning))
	g.complete(longRunningJob, 0, 0, 0, job.OutcomeDone, "")
	second := oneTask
	second.DependsOn, second.Affinity = []int{0}, "rack-2"
	g.submit(stagesJob, queue, specificationOf(oneTask, second))
	g.complete(stagesJob, 0, 0, 0, job.OutcomeDone, "")
	g.scheduler.SetOperatorDrain(g.clock(), "w-3", true)
	g.scheduler.SetOperatorDrain(g.clock(), "w-2", true)
	g.scheduler.SetOperatorDrain(g.clock(), "w-2", false)
	g.commit()

	g = newStoredGroup(storedMail, store, "w-8", "w-9")
	queue = jobapi.Queue{Route: "mail", Service: "mail", MaxAttempts: 1}
	atLeastOnce := oneTask
	atLeastOnce.AtLeastOnce = true
	g.submit(atLeastOnceJob, queue, specificationOf(atLeastOnce))
	g.submit(completedJob, queue, specificationOf(oneTask))
	g.submit(failedJob, queue, specificationOf(oneTask))
	g.submit(cancelledJob, queue, specificationOf(oneTask))
	g.advance(300 * time.Millisecond)
	g.complete(completedJob, 0, 0, 0, job.OutcomeDone, "")
	g.complete(failedJob, 0, 0, 0, job.OutcomeFailed, "")
	g.scheduler.Cancel(g.clock(), cancelledJob)
	g.commit()
}

// summarizeState returns a text that describes the whole state restored by a scheduler. The text does not depend on Go
// identifiers, so that renaming them does not change the golden file.
func summarizeState(s *Scheduler) string {
	var text strings.Builder
	writeLine := func(format string, values ...any) { fmt.Fprintf(&text, format+"\n", values...) }
	writeLine("arrivals %d, next due %d", s.lastArrival, s.NextDueMS())
	for _, route := range slices.Sorted(maps.Keys(s.pendingByRoute)) {
		writeLine("route %s: %d jobs", route, s.PendingJobs(queuekey.Unknown, route))
	}
	for _, j := range s.jobsByArrival() {
		specification, err := json.Marshal(j.Specification)
		if err != nil {
			panic(err) // encoding a specification never fails
		}
		state, _ := s.Status(j.id)
		queue := j.Queue
		writeLine("job %s: %s, arrival %d at %d, repetitions left %d, next due %d", j.id, state, j.Arrival, j.ArrivedMS, j.incompleteRepetitions, j.nextDueMS)
		writeLine("  queue: route %s, service %s, priority %d, attempts %d, extension %g, target %d ms, guards %v",
			queue.Route, queue.Service, queue.Priority, queue.MaxAttempts, queue.Extension, queue.TargetLatencyMS, queue.EnforcesCapacity)
		writeLine("  specification: %s", specification)
		for number, repetition := range j.repetitions {
			if repetition == nil {
				writeLine("  repetition %d: complete", number)
				continue
			}
			summarizeRepetition(writeLine, repetition)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.endedJobs)) {
		writeLine("job %s: ended as %s at %d", id, s.endedJobs[id].State, s.endedJobs[id].EndedMS)
	}
	for _, worker := range s.sortedWorkers {
		writeLine("worker %s: %d runs, used %d cores/1000 %d MB %d accelerators", worker.ID, len(worker.attempts), worker.used.Processors, worker.used.MemoryMB, worker.used.Accelerators)
	}
	for _, id := range slices.Sorted(maps.Keys(s.operatorDrains)) {
		drain := s.operatorDrains[id]
		writeLine("drain of %s: since %d, version %d, history %b", id, drain.SinceMS, drain.Version, drain.History)
	}
	return text.String()
}

func summarizeRepetition(writeLine func(format string, values ...any), repetition *repetitionState) {
	writeLine("  repetition %d: stages left %d", repetition.number, repetition.incompleteStages)
	for _, stage := range repetition.stages {
		writeLine("    stage %d: tasks left %d, waiting %d", stage.number, stage.incompleteTasks, len(stage.waiting))
		for _, task := range stage.tasks {
			writeLine("      task %s: execution %d, failed %v, checkpoint %q, done %v", task.id, task.attemptNumber, task.failedAttempts, task.resumeCheckpoint(), task.done)
			for _, attempt := range slices.SortedFunc(slices.Values(task.attempts), func(a, b *attemptState) int { return cmp.Compare(a.number, b.number) }) {
				writeLine("        run %d at %s, inherited %v", attempt.number, attempt.worker.ID, attempt.inherited)
			}
		}
	}
}

// summarizeTables restores schedulers from the tables of both groups and summarizes their state. The restoration takes place
// some time after the records were written.
func summarizeTables(tables storage.Tables) (string, error) {
	text := ""
	for _, table := range []string{storedRender, storedMail} {
		later := storedStartTime.Add(2500 * time.Millisecond)
		s, err := New(storedSettings, Now{Monotonic: later, WallMS: later.UnixMilli()}, tables[table])
		if err != nil {
			return "", err
		}
		text += "# " + table + "\n" + summarizeState(s)
	}
	return text, nil
}

// dumpTables returns the contents of the tables as JSON, with values in hexadecimal.
func dumpTables(tables storage.Tables) string {
	values := make(map[string]map[string]string)
	for name, table := range tables {
		values[name] = make(map[string]string)
		for key, value := range table {
			values[name][key] = hex.EncodeToString(value)
		}
	}
	text, err := json.MarshalIndent(values, "", " ")
	if err != nil {
		panic(err) // encoding maps of strings never fails
	}
	return string(text) + "\n"
}

// reencode decodes a record and encodes it again with the code under test.
func reencode(key string, value []byte) []byte {
	record := map[string]any{
		jobPrefix: &jobRecord{}, taskPrefix: &taskRecord{}, repetitionPrefix: &repetitionRecord{},
		endedPrefix: &endedRecord{}, operatorDrainPrefix: &operatorDrainRecord{}, handoverKey: &handoverRecord{}, earlyCancellationPrefix: &earlyCancellationRecord{},
	}[key[:2]]
	if err := decodeRecord(key, value, record); err != nil {
		panic(err) // cannot fail: a scheduler has already decoded this record
	}
	var s Scheduler
	s.writeRecord(key, reflect.ValueOf(record).Elem().Interface())
	return s.effects.Entries[0].Value
}

func openStored(t *testing.T, folder string) *storage.FileStore {
	t.Helper()
	store, _, err := storage.Open(storage.OSFileSystem{}, folder, storage.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { store.Close() })
	return store
}

// regenerateStoredJobs overwrites the stored data and the golden files.
func regenerateStoredJobs(t *testing.T) {
	t.Helper()
	os.RemoveAll(storedFolder)
	store := openStored(t, storedFolder)
	writeStoredJobs(store)
	text, err := summarizeTables(store.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	for path, content := range map[string]string{storedDump: dumpTables(store.Snapshot()), restoredSummary: text} {
		if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

func readGolden(t *testing.T, path string) string {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

// This test guards against a change of the record format that this build or an earlier build cannot read. It restores
// records that an earlier build stored, and encodes them again.
func TestStoredRecordsOfEarlierBuildAreRestored(t *testing.T) {
	if os.Getenv(updateGoldenVariable) == "1" {
		regenerateStoredJobs(t)
	}
	records, restored := readGolden(t, storedDump), readGolden(t, restoredSummary)
	Convey("Given the records of two groups that an earlier build stored", t, func() {
		folder := t.TempDir()
		So(os.CopyFS(folder, os.DirFS(storedFolder)), ShouldBeNil)
		store := openStored(t, folder)
		So(dumpTables(store.Snapshot()), ShouldEqual, records)

		Convey("schedulers restore the complete state", func() {
			text, err := summarizeTables(store.Snapshot())
			So(err, ShouldBeNil)
			So(text, ShouldEqual, restored)
		})
		Convey("the records include each kind of record and each state of a job", func() {
			for _, kind := range []string{jobPrefix, taskPrefix, repetitionPrefix, endedPrefix, operatorDrainPrefix} {
				So(records, ShouldContainSubstring, `"`+kind)
			}
			for _, state := range []job.State{job.Queued, job.Running, job.Completed, job.Failed, job.Cancelled} {
				So(restored, ShouldContainSubstring, string(state))
			}
		})
		Convey("this build encodes the records identically, so that the earlier build can read them", func() {
			reencoded := make(storage.Tables)
			for name, table := range store.Snapshot() {
				reencoded[name] = make(map[string][]byte)
				for key, value := range table {
					reencoded[name][key] = reencode(key, value)
				}
			}
			So(dumpTables(reencoded), ShouldEqual, records)
		})
		Convey("this build uses the same record keys", func() {
			task := job.TaskID{Job: repeatedJob, Repetition: 1, Stage: 2, Index: 3}
			So(jobKey(waitingJob), ShouldEqual, "j/0000000000000001")
			So(endedKey(waitingJob), ShouldEqual, "e/0000000000000001")
			So(taskKey(task), ShouldEqual, "t/0000000000000004/1.2.3")
			So(repetitionKey(repeatedJob, 1), ShouldEqual, "k/0000000000000004/1")
			So(operatorDrainKey("w-1"), ShouldEqual, "d/w-1")
		})
	})
}
