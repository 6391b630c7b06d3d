package scheduler

import (
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/jobs/jobreport"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

func TestRepeatedOperatorDrainUnderASuccessor(t *testing.T) {
	Convey("Given a drain that was taken, and a successor that has not seen the worker yet", t, func() {
		w := newSimulation(1, 3)
		w.runSteps(20)
		So(w.scheduler.SetOperatorDrain(w.clock(), "s00", true), ShouldBeTrue)
		w.propose()
		w.runSteps(5)
		successor, err := New(w.scheduler.settings, w.clock(), w.durable)
		So(err, ShouldBeNil)
		So(successor.KnowsWorker("s00"), ShouldBeFalse)

		Convey("the same drain again is confirmed, and changes nothing", func() {
			So(successor.SetOperatorDrain(w.clock(), "s00", true), ShouldBeTrue)
			effects := successor.TakeEffects()
			So(effects.Empty(), ShouldBeTrue)
			So(successor.IsOperatorDraining("s00"), ShouldBeTrue)
		})
		Convey("its end is taken as well", func() {
			So(successor.SetOperatorDrain(w.clock(), "s00", false), ShouldBeTrue)
			So(successor.IsOperatorDraining("s00"), ShouldBeFalse)
			entries := successor.TakeEffects().Entries
			So(entries, ShouldHaveLength, 1)
			So(entries[0].Key, ShouldEqual, operatorDrainKey("s00"))
			var record operatorDrainRecord // it stays, so that a change that arrives late is recognized
			So(decodeRecord(entries[0].Key, entries[0].Value, &record), ShouldBeNil)
			So(record.draining(), ShouldBeFalse)
			So(record.Version, ShouldEqual, 2)
		})
		Convey("another worker is not known", func() {
			So(successor.SetOperatorDrain(w.clock(), "s01", true), ShouldBeFalse)
			So(successor.SetOperatorDrain(w.clock(), "s01", false), ShouldBeFalse)
		})
	})
}

// Without a version a drain that arrives after its end stays in force, as it looks like a new one; the operators' page says so.
func TestLateDrainWithoutAVersion(t *testing.T) {
	Convey("A drain without a version arrives once more after the change that ended it", t, func() {
		w := newSimulation(1, 3)
		w.runSteps(20)
		So(w.scheduler.SetOperatorDrain(w.clock(), "s00", true), ShouldBeTrue)
		So(w.scheduler.SetOperatorDrain(w.clock(), "s00", false), ShouldBeTrue)
		So(w.scheduler.SetOperatorDrain(w.clock(), "s00", true), ShouldBeTrue)
		So(w.scheduler.IsOperatorDraining("s00"), ShouldBeTrue)
		So(w.scheduler.DrainVersion("s00"), ShouldEqual, 3)
	})
}

func TestOperatorDrainVersions(t *testing.T) {
	drain := func(version uint64) DrainChange { return DrainChange{Draining: true, BaseVersion: version} }
	undrain := func(version uint64) DrainChange { return DrainChange{BaseVersion: version} }
	Convey("Given a worker that was never drained", t, func() {
		w := newSimulation(1, 3)
		w.runSteps(20)
		order := func(change DrainChange) jobreport.DrainOutcome {
			return w.scheduler.ChangeOperatorDrain(w.clock(), "s00", change)
		}

		Convey("a drain that arrives after the change that ended it changes nothing", func() {
			So(order(undrain(0)), ShouldEqual, jobreport.DrainApplied) // the operator gave up the drain, which is still on its way
			So(order(drain(0)), ShouldEqual, jobreport.DrainSuperseded)
			So(w.scheduler.IsOperatorDraining("s00"), ShouldBeFalse)
		})
		Convey("a change that was taken is confirmed again, also after later ones", func() {
			So(order(drain(0)), ShouldEqual, jobreport.DrainApplied)
			So(order(drain(0)), ShouldEqual, jobreport.DrainApplied)
			So(w.scheduler.DrainVersion("s00"), ShouldEqual, 1)
			So(order(undrain(1)), ShouldEqual, jobreport.DrainApplied)
			So(order(drain(0)), ShouldEqual, jobreport.DrainApplied)
			So(w.scheduler.IsOperatorDraining("s00"), ShouldBeFalse)
			So(w.scheduler.DrainVersion("s00"), ShouldEqual, 2)
		})
		Convey("one of two changes on top of one version is taken", func() {
			So(order(drain(0)), ShouldEqual, jobreport.DrainApplied)
			So(order(undrain(0)), ShouldEqual, jobreport.DrainSuperseded)
			So(w.scheduler.IsOperatorDraining("s00"), ShouldBeTrue)
		})
		Convey("the outcome of a change on top of a version that is not in force, or is forgotten, is unclear", func() {
			So(order(drain(1)), ShouldEqual, jobreport.DrainIndeterminate)
			So(order(undrain(math.MaxUint64)), ShouldEqual, jobreport.DrainIndeterminate)
			for version := range uint64(drainHistoryLength + 1) {
				So(order(DrainChange{Draining: version%3 == 0, BaseVersion: version}), ShouldEqual, jobreport.DrainApplied)
			}
			So(order(drain(0)), ShouldEqual, jobreport.DrainIndeterminate)
			So(order(undrain(1)), ShouldEqual, jobreport.DrainApplied)
			So(order(drain(1)), ShouldEqual, jobreport.DrainSuperseded)
		})
		Convey("a change without a version makes a new one, where it changes something", func() {
			So(w.scheduler.SetOperatorDrain(w.clock(), "s00", true), ShouldBeTrue)
			So(w.scheduler.SetOperatorDrain(w.clock(), "s00", true), ShouldBeTrue)
			So(w.scheduler.DrainVersion("s00"), ShouldEqual, 1)
			So(order(undrain(0)), ShouldEqual, jobreport.DrainSuperseded)
		})
		Convey("an unknown worker is reported as such", func() {
			So(w.scheduler.ChangeOperatorDrain(w.clock(), "nobody", drain(0)), ShouldEqual, jobreport.DrainWorkerUnknown)
		})
		Convey("a successor has the same versions", func() {
			order(drain(0))
			order(undrain(1))
			w.propose()
			w.runSteps(5)
			successor, err := New(w.scheduler.settings, w.clock(), w.durable)
			So(err, ShouldBeNil)
			So(successor.DrainVersion("s00"), ShouldEqual, 2)
			So(successor.ChangeOperatorDrain(w.clock(), "s00", drain(0)), ShouldEqual, jobreport.DrainApplied)
			So(successor.ChangeOperatorDrain(w.clock(), "s00", undrain(0)), ShouldEqual, jobreport.DrainSuperseded)
			So(successor.IsOperatorDraining("s00"), ShouldBeFalse)
		})
		Convey("a record of a release without versions is a drain in force", func() {
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

// countRunning counts the attempts that run on one worker and on all.
func countRunningAttempts(w *simulation, id workerclient.WorkerID) (running, all int) {
	for _, worker := range w.workers {
		all += len(worker.running)
		if worker.ID == id {
			running = len(worker.running)
		}
	}
	return running, all
}

func TestOperatorDrain(t *testing.T) {
	Convey("Given workers, of which an operator drains one", t, func() {
		w := newSimulation(1, 3)
		w.runSteps(20)
		So(w.scheduler.SetOperatorDrain(w.clock(), "s00", true), ShouldBeTrue)
		w.propose()
		w.runSteps(5)
		stage := smallStage(6)
		stage.LongRunning = true

		Convey("it gets no starts, and the others do", func() {
			w.submitStages(1, stage)
			w.runSteps(50)
			running, all := countRunningAttempts(w, "s00")
			So(running, ShouldEqual, 0)
			So(all, ShouldEqual, 6)
			report, _ := w.scheduler.Worker(w.clock(), "s00")
			So(report.State, ShouldEqual, jobreport.WorkerOperatorDraining)
		})
		Convey("a successor keeps the drain", func() {
			w.elect()
			w.runSteps(20)
			w.submitStages(1, stage)
			w.runSteps(50)
			running, all := countRunningAttempts(w, "s00")
			So(running, ShouldEqual, 0)
			So(all, ShouldEqual, 6)
		})
		Convey("once it is ended the worker gets starts again, also under a successor", func() {
			So(w.scheduler.SetOperatorDrain(w.clock(), "s00", false), ShouldBeTrue)
			w.propose()
			w.runSteps(5)
			var record operatorDrainRecord // it stays for changes that arrive late
			So(decodeRecord("", w.durable[operatorDrainKey("s00")], &record), ShouldBeNil)
			So(record.draining(), ShouldBeFalse)
			w.elect()
			w.runSteps(20)
			w.submitStages(1, stage)
			w.runSteps(50)
			running, _ := countRunningAttempts(w, "s00")
			So(running, ShouldBeGreaterThan, 0)
		})
		Convey("tasks that were bound to it are bound to others", func() {
			stage.Count = 200
			w.submitStages(1, stage)
			before, _ := w.scheduler.Worker(w.clock(), "s01")
			So(before.WaitingTasks, ShouldBeGreaterThan, 0)
			w.scheduler.SetOperatorDrain(w.clock(), "s01", true)
			after, _ := w.scheduler.Worker(w.clock(), "s01")
			So(after.WaitingTasks, ShouldEqual, 0)
		})
		Convey("the same drain again writes nothing", func() {
			w.scheduler.TakeEffects()
			So(w.scheduler.SetOperatorDrain(w.clock(), "s00", true), ShouldBeTrue)
			effects := w.scheduler.TakeEffects()
			So(effects.Empty(), ShouldBeTrue)
		})
		Convey("an unknown worker is not drained", func() {
			So(w.scheduler.SetOperatorDrain(w.clock(), "nobody", true), ShouldBeFalse)
		})
		Convey("the record is erased with the worker's incarnation", func() {
			So(w.durable[operatorDrainKey("s00")], ShouldNotBeNil)
			w.crash(w.workers[0], "s00+")
			w.runSteps(100)
			w.sendInventory()
			w.runSteps(5)
			So(w.durable[operatorDrainKey("s00")], ShouldBeNil)
		})
		Convey("so is that of a drain that was ended", func() {
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
		Convey("and also where the incarnation ended while there was no leader", func() {
			w.workers[0].up = false
			w.elect()
			for range maxMissedInventories {
				w.sendInventory()
			}
			w.runSteps(5)
			So(w.durable[operatorDrainKey("s00")], ShouldBeNil)
		})
		Convey("attempts under way go on", func() {
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
