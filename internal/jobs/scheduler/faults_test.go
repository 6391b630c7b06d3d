package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// fault disturbs the simulation in one step.
type fault func(w *simulation, step int)

const (
	arrivalStepCount = 500  // of 20 ms, in which jobs arrive
	maxStepCount     = 4000 // by then all jobs must have ended
)

// simulate submits jobs under faults and then waits for the end of all of them.
func simulate(seed uint64, jobs int, faults ...fault) *simulation {
	w := newSimulation(seed, 9)
	sent := 0
	for step := range maxStepCount {
		if step < arrivalStepCount {
			for sent < jobs*step/arrivalStepCount {
				sent++
				w.submit(w.randomJob(sent))
			}
			for _, disturb := range faults {
				disturb(w, step)
			}
		}
		w.step()
		if step > arrivalStepCount && len(w.scheduler.jobs) == 0 && len(w.inFlight) == 0 {
			break
		}
	}
	return w
}

// check lists the violations, with the jobs that did not end as they should.
func (w *simulation) verify() []string {
	broken := w.violations
	for id, facts := range w.jobs {
		state, known := w.scheduler.Status(id)
		want := job.Completed
		if facts.alwaysFails {
			want = job.Failed
		}
		if known && (state == want || state == job.Cancelled && facts.cancelledAt > 0) {
			continue
		}
		if state == job.Failed && w.hasFailingWorker() {
			continue
		}
		broken = append(broken, fmt.Sprintf("job %s is %q, want %q", id, state, want))
	}
	return broken
}

func (w *simulation) hasFailingWorker() bool {
	for _, worker := range w.workers {
		if worker.failsAllAttempts {
			return true
		}
	}
	return false
}

func leaderTakeovers(w *simulation, _ int) {
	if w.random.IntN(100) == 0 {
		w.startLeadership()
	}
}

func lateCommands(w *simulation, _ int) { w.lateStartProbability = 0.08 }

func workerCrashes(w *simulation, _ int) {
	if worker := w.workers[w.random.IntN(len(w.workers))]; w.random.IntN(80) == 0 && worker.up {
		w.crash(worker, fmt.Sprintf("%s+", worker.ID))
	}
}

func workerPartitions(w *simulation, _ int) {
	if worker := w.workers[w.random.IntN(len(w.workers))]; w.random.IntN(60) == 0 && worker.up && !worker.partitioned {
		worker.partitioned = true
		w.schedule(time.Duration(1+w.random.IntN(9))*time.Second, func() { worker.partitioned = false })
	}
}

func jobCancellations(w *simulation, _ int) {
	if w.random.IntN(20) != 0 {
		return
	}
	for _, facts := range w.jobs {
		w.cancel(facts)
		return
	}
}

func failingWorker(w *simulation, step int) {
	if step == 100 {
		w.workers[2].failsAllAttempts = true
	}
}

func stalledAttempts(w *simulation, _ int) {
	if w.random.IntN(50) != 0 {
		return
	}
	for _, attempt := range w.workers[w.random.IntN(len(w.workers))].running {
		attempt.stalled = true
	}
}

func platformDrain(w *simulation, step int) {
	if step == 150 {
		w.workers[1].Draining = true
		w.sendInventory()
		w.schedule(4*time.Second, func() {
			w.workers[1].up = false
			w.sendInventory()
			w.scheduler.RemoveWorker(w.clock(), w.workers[1].ID)
			w.propose()
		})
	}
}

func TestGuaranteesHoldUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults []fault
	}{
		{"calm", nil},
		{"takeovers", []fault{leaderTakeovers}},
		{"late commands", []fault{lateCommands}},
		{"crashes", []fault{workerCrashes}},
		{"partitions", []fault{workerPartitions}},
		{"cancels", []fault{jobCancellations}},
		{"failures", []fault{failingWorker}},
		{"stalls", []fault{stalledAttempts}},
		{"drains", []fault{platformDrain}},
		{"late commands and takeovers", []fault{lateCommands, leaderTakeovers}},
		{"partitions and takeovers", []fault{workerPartitions, leaderTakeovers}},
		{"everything", []fault{leaderTakeovers, lateCommands, workerCrashes, workerPartitions, jobCancellations, stalledAttempts, platformDrain}},
	}
	const seeds = 20
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				w := simulate(seed, 60, c.faults...)
				if broken := w.verify(); len(broken) > 0 {
					t.Fatalf("seed %d: %d broken, first %q", seed, len(broken), broken[:min(len(broken), 5)])
				}
			}
		})
	}
}

func TestSameSeedGivesSameDurableState(t *testing.T) {
	Convey("Two simulations with one seed end in the same durable state", t, func() {
		first := simulate(7, 40, leaderTakeovers, workerPartitions)
		second := simulate(7, 40, leaderTakeovers, workerPartitions)
		So(second.durable, ShouldResemble, first.durable)
	})
}

func TestLostRecordsAreReportedAsViolations(t *testing.T) {
	Convey("A leader without its predecessor's records breaks promises, and the checker detects it", t, func() {
		w := newSimulation(1, 9)
		w.dropRecords = true
		for number := range 20 {
			w.submit(w.randomJob(number + 1))
		}
		for step := range 600 {
			if step%100 == 99 {
				w.startLeadership()
				for _, facts := range w.jobs {
					w.scheduler.Submit(w.clock(), &facts.request)
				}
				w.propose()
			}
			w.step()
		}
		So(len(w.violations), ShouldBeGreaterThan, 0)
	})
}
