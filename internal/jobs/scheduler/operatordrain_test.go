package scheduler

import (
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/jobs/jobreport"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// An operator may repeat a drain request after a change of leader, before the new leader has seen the worker. The new
// leader knows the worker only from the record of its drain, and must confirm the request all the same.
func TestRepeatedOperatorDrainIsConfirmedByNewLeader(t *testing.T) {
	Convey("Given a drained worker, and a new leader that has received no inventory yet", t, func() {
		w := newSimulation(1, 3)
		w.runSteps(20)
		So(w.scheduler.SetOperatorDrain(w.clock(), "s00", true), ShouldBeTrue)
		w.propose()
		w.runSteps(5)
		successor, err := New(w.scheduler.settings, w.clock(), w.durable)
		So(err, ShouldBeNil)
		So(successor.KnowsWorker("s00"), ShouldBeFalse)

		Convey("repeating the drain is confirmed and has no effects", func() {
			So(successor.SetOperatorDrain(w.clock(), "s00", true), ShouldBeTrue)
			effects := successor.TakeEffects()
			So(effects.Empty(), ShouldBeTrue)
			So(successor.IsOperatorDraining("s00"), ShouldBeTrue)
		})
		Convey("ending the drain is confirmed and recorded", func() {
			So(successor.SetOperatorDrain(w.clock(), "s00", false), ShouldBeTrue)
			So(successor.IsOperatorDraining("s00"), ShouldBeFalse)
			entries := successor.TakeEffects().Entries
			So(entries, ShouldHaveLength, 1)
			So(entries[0].Key, ShouldEqual, operatorDrainKey("s00"))
			var record operatorDrainRecord // the record is kept, so that a delayed change is recognized
			So(decodeRecord(entries[0].Key, entries[0].Value, &record), ShouldBeNil)
			So(record.draining(), ShouldBeFalse)
			So(record.Version, ShouldEqual, 2)
		})
		Convey("drains of a worker without a record are rejected", func() {
			So(successor.SetOperatorDrain(w.clock(), "s01", true), ShouldBeFalse)
			So(successor.SetOperatorDrain(w.clock(), "s01", false), ShouldBeFalse)
		})
	})
}

// A drain request without a version cannot be recognized as delayed: if it is delivered again after the drain has ended, it
// drains the worker once more. The operators' documentation describes this.
func TestDelayedDrainWithoutVersionIsApplied(t *testing.T) {
	Convey("A drain without a version drains the worker again if it is delivered again after the end of the drain", t, func() {
		w := newSimulation(1, 3)
		w.runSteps(20)
		So(w.scheduler.SetOperatorDrain(w.clock(), "s00", true), ShouldBeTrue)
		So(w.scheduler.SetOperatorDrain(w.clock(), "s00", false), ShouldBeTrue)
		So(w.scheduler.SetOperatorDrain(w.clock(), "s00", true), ShouldBeTrue)
		So(w.scheduler.IsOperatorDraining("s00"), ShouldBeTrue)
		So(w.scheduler.DrainVersion("s00"), ShouldEqual, 3)
	})
}

// A drain change may be delayed or repeated on its way. Its base version must prevent it from undoing a newer change, and
// its outcome must be the same each time.
func TestDelayedDrainChangeDoesNotUndoNewerOne(t *testing.T) {
	drain := func(version uint64) DrainChange { return DrainChange{Draining: true, BaseVersion: version} }
	undrain := func(version uint64) DrainChange { return DrainChange{BaseVersion: version} }
	Convey("Given a worker that was never drained", t, func() {
		w := newSimulation(1, 3)
		w.runSteps(20)
		request := func(change DrainChange) jobreport.DrainOutcome {
			return w.scheduler.ChangeOperatorDrain(w.clock(), "s00", change)
		}

		Convey("a delayed drain has no effect if it arrives after the change that ended it", func() {
			So(request(undrain(0)), ShouldEqual, jobreport.DrainApplied) // the operator withdrew a drain that has not arrived yet
			So(request(drain(0)), ShouldEqual, jobreport.DrainSuperseded)
			So(w.scheduler.IsOperatorDraining("s00"), ShouldBeFalse)
		})
		Convey("an applied change that is repeated is confirmed again, even after newer changes", func() {
			So(request(drain(0)), ShouldEqual, jobreport.DrainApplied)
			So(request(drain(0)), ShouldEqual, jobreport.DrainApplied)
			So(w.scheduler.DrainVersion("s00"), ShouldEqual, 1)
			So(request(undrain(1)), ShouldEqual, jobreport.DrainApplied)
			So(request(drain(0)), ShouldEqual, jobreport.DrainApplied)
			So(w.scheduler.IsOperatorDraining("s00"), ShouldBeFalse)
			So(w.scheduler.DrainVersion("s00"), ShouldEqual, 2)
		})
		Convey("only the first of two different changes with the same base version is applied", func() {
			So(request(drain(0)), ShouldEqual, jobreport.DrainApplied)
			So(request(undrain(0)), ShouldEqual, jobreport.DrainSuperseded)
			So(w.scheduler.IsOperatorDraining("s00"), ShouldBeTrue)
		})
		Convey("the outcome is indeterminate if the base version is newer than the current one or older than the history", func() {
			So(request(drain(1)), ShouldEqual, jobreport.DrainIndeterminate)
			So(request(undrain(math.MaxUint64)), ShouldEqual, jobreport.DrainIndeterminate)
			for version := range uint64(drainHistoryLength + 1) {
				So(request(DrainChange{Draining: version%3 == 0, BaseVersion: version}), ShouldEqual, jobreport.DrainApplied)
			}
			So(request(drain(0)), ShouldEqual, jobreport.DrainIndeterminate)
			So(request(undrain(1)), ShouldEqual, jobreport.DrainApplied)
			So(request(drain(1)), ShouldEqual, jobreport.DrainSuperseded)
		})
		Convey("a request without a version creates a new version only if it changes the drain", func() {
			So(w.scheduler.SetOperatorDrain(w.clock(), "s00", true), ShouldBeTrue)
			So(w.scheduler.SetOperatorDrain(w.clock(), "s00", true), ShouldBeTrue)
			So(w.scheduler.DrainVersion("s00"), ShouldEqual, 1)
			So(request(undrain(0)), ShouldEqual, jobreport.DrainSuperseded)
		})
		Convey("the outcome for an unknown worker is DrainWorkerUnknown", func() {
			So(w.scheduler.ChangeOperatorDrain(w.clock(), "nobody", drain(0)), ShouldEqual, jobreport.DrainWorkerUnknown)
		})
		Convey("a new leader restores the versions", func() {
			request(drain(0))
			request(undrain(1))
			w.propose()
			w.runSteps(5)
			successor, err := New(w.scheduler.settings, w.clock(), w.durable)
			So(err, ShouldBeNil)
			So(successor.DrainVersion("s00"), ShouldEqual, 2)
			So(successor.ChangeOperatorDrain(w.clock(), "s00", drain(0)), ShouldEqual, jobreport.DrainApplied)
			So(successor.ChangeOperatorDrain(w.clock(), "s00", undrain(0)), ShouldEqual, jobreport.DrainSuperseded)
			So(successor.IsOperatorDraining("s00"), ShouldBeFalse)
		})
		Convey("a record written by a release without versions is restored as a drain in force", func() {
			type oldRecord struct {
				SinceMS int64 `msgpack:"t"`
			}
			value, err := msgpack.Marshal(oldRecord{SinceMS: 5})
			So(err, ShouldBeNil)
			drains, err := restoreOperatorDrains(map[string][]byte{operatorDrainKey("s00"): value})
			So(err, ShouldBeNil)
			So(drains.isDraining("s00"), ShouldBeTrue)
			So(drains.record("s00").Version, ShouldEqual, 1)
		})
	})
}

// countRunningAttempts returns the number of attempts that run on one worker, and on all workers.
func countRunningAttempts(w *simulation, id workerclient.WorkerID) (running, all int) {
	for _, worker := range w.workers {
		all += len(worker.running)
		if worker.ID == id {
			running = len(worker.running)
		}
	}
	return running, all
}

func TestWorkerDrainedByOperatorGetsNoStarts(t *testing.T) {
	Convey("Given three workers, one of which is drained by an operator", t, func() {
		w := newSimulation(1, 3)
		w.runSteps(20)
		So(w.scheduler.SetOperatorDrain(w.clock(), "s00", true), ShouldBeTrue)
		w.propose()
		w.runSteps(5)
		stage := smallStage(6)
		stage.LongRunning = true

		Convey("the drained worker gets no starts, and the others do", func() {
			w.submitStages(1, stage)
			w.runSteps(50)
			running, all := countRunningAttempts(w, "s00")
			So(running, ShouldEqual, 0)
			So(all, ShouldEqual, 6)
			report, _ := w.scheduler.Worker(w.clock(), "s00")
			So(report.State, ShouldEqual, jobreport.WorkerOperatorDraining)
		})
		Convey("the drain remains in force under a new leader", func() {
			w.startLeadership()
			w.runSteps(20)
			w.submitStages(1, stage)
			w.runSteps(50)
			running, all := countRunningAttempts(w, "s00")
			So(running, ShouldEqual, 0)
			So(all, ShouldEqual, 6)
		})
		Convey("after the end of the drain the worker gets starts again, even under a new leader", func() {
			So(w.scheduler.SetOperatorDrain(w.clock(), "s00", false), ShouldBeTrue)
			w.propose()
			w.runSteps(5)
			var record operatorDrainRecord // the record is kept, so that a delayed change is recognized
			So(decodeRecord("", w.durable[operatorDrainKey("s00")], &record), ShouldBeNil)
			So(record.draining(), ShouldBeFalse)
			w.startLeadership()
			w.runSteps(20)
			w.submitStages(1, stage)
			w.runSteps(50)
			running, _ := countRunningAttempts(w, "s00")
			So(running, ShouldBeGreaterThan, 0)
		})
		Convey("tasks that are bound to a worker are bound to other workers once it is drained", func() {
			stage.Count = 200
			w.submitStages(1, stage)
			before, _ := w.scheduler.Worker(w.clock(), "s01")
			So(before.WaitingTasks, ShouldBeGreaterThan, 0)
			w.scheduler.SetOperatorDrain(w.clock(), "s01", true)
			after, _ := w.scheduler.Worker(w.clock(), "s01")
			So(after.WaitingTasks, ShouldEqual, 0)
		})
		Convey("repeating the drain writes no record", func() {
			w.scheduler.TakeEffects()
			So(w.scheduler.SetOperatorDrain(w.clock(), "s00", true), ShouldBeTrue)
			effects := w.scheduler.TakeEffects()
			So(effects.Empty(), ShouldBeTrue)
		})
		Convey("a drain of an unknown worker is rejected", func() {
			So(w.scheduler.SetOperatorDrain(w.clock(), "nobody", true), ShouldBeFalse)
		})
		Convey("the record is erased when the worker's incarnation ends", func() {
			So(w.durable[operatorDrainKey("s00")], ShouldNotBeNil)
			w.crash(w.workers[0], "s00+")
			w.runSteps(100)
			w.sendInventory()
			w.runSteps(5)
			So(w.durable[operatorDrainKey("s00")], ShouldBeNil)
		})
		Convey("the record of a drain that has ended is erased when the worker's incarnation ends", func() {
			So(w.scheduler.SetOperatorDrain(w.clock(), "s00", false), ShouldBeTrue)
			w.propose()
			w.runSteps(5)
			So(w.durable[operatorDrainKey("s00")], ShouldNotBeNil)
			w.crash(w.workers[0], "s00+")
			w.runSteps(100)
			w.sendInventory()
			w.runSteps(5)
			So(w.durable[operatorDrainKey("s00")], ShouldBeNil)
		})
		Convey("the record is erased even if the incarnation ended while there was no leader", func() {
			w.workers[0].up = false
			w.startLeadership()
			for range maxMissedInventories {
				w.sendInventory()
			}
			w.runSteps(5)
			So(w.durable[operatorDrainKey("s00")], ShouldBeNil)
		})
		Convey("attempts under way continue after a drain", func() {
			w.submitStages(1, stage)
			w.runSteps(50)
			So(w.scheduler.SetOperatorDrain(w.clock(), "s01", true), ShouldBeTrue)
			w.propose()
			before, _ := countRunningAttempts(w, "s01")
			w.runSteps(100)
			after, _ := countRunningAttempts(w, "s01")
			So(after, ShouldEqual, before)
			So(before, ShouldBeGreaterThan, 0)
		})
		So(w.violations, ShouldBeEmpty)
	})
}
