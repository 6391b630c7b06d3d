package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// fault is what happens to a world at a moment, besides jobs.
type fault func(w *world, step int)

const (
	arrivalSteps = 500  // of 20 ms, in which jobs arrive
	endSteps     = 4000 // by then everything must have ended
)

// play lets jobs arrive under troubles and then waits for the end of all of them.
func play(seed uint64, jobs int, faults ...fault) *world {
	w := newWorld(seed, 9)
	sent := 0
	for step := range endSteps {
		if step < arrivalSteps {
			for sent < jobs*step/arrivalSteps {
				sent++
				w.submit(w.randomJob(sent))
			}
			for _, disturb := range faults {
				disturb(w, step)
			}
		}
		w.step()
		if step > arrivalSteps && len(w.scheduler.jobs) == 0 && len(w.flight) == 0 {
			break
		}
	}
	return w
}

// verdicts lists the broken promises, with the jobs that did not end as they should.
func (w *world) verdicts() []string {
	broken := w.broken
	for id, facts := range w.jobs {
		state, known := w.scheduler.Status(id)
		want := job.Completed
		if facts.poison {
			want = job.Failed
		}
		if known && (state == want || state == job.Cancelled && facts.cancelledAt > 0) {
			continue
		}
		if state == job.Failed && w.excusesFailure() {
			continue
		}
		broken = append(broken, fmt.Sprintf("job %s is %q, want %q", id, state, want))
	}
	return broken
}

func (w *world) excusesFailure() bool {
	for _, m := range w.machines {
		if m.failing {
			return true
		}
	}
	return false
}

func takeovers(w *world, step int) {
	if w.random.IntN(100) == 0 {
		w.elect()
	}
}

func lateOrders(w *world, step int) { w.lateShare = 0.08 }

func crashes(w *world, step int) {
	if m := w.machines[w.random.IntN(len(w.machines))]; w.random.IntN(80) == 0 && m.up {
		w.crash(m, fmt.Sprintf("%s+", m.ID))
	}
}

func cuts(w *world, step int) {
	if m := w.machines[w.random.IntN(len(w.machines))]; w.random.IntN(60) == 0 && m.up && !m.cut {
		m.cut = true
		w.after(time.Duration(1+w.random.IntN(9))*time.Second, func() { m.cut = false })
	}
}

func cancels(w *world, step int) {
	if w.random.IntN(20) != 0 {
		return
	}
	for _, facts := range w.jobs {
		w.cancel(facts)
		return
	}
}

func failures(w *world, step int) {
	if step == 100 {
		w.machines[2].failing = true
	}
}

func stalls(w *world, step int) {
	if w.random.IntN(50) != 0 {
		return
	}
	for _, run := range w.machines[w.random.IntN(len(w.machines))].running {
		run.stuck = true
	}
}

func drains(w *world, step int) {
	if step == 150 {
		w.machines[1].Draining = true
		w.inventory()
		w.after(4*time.Second, func() {
			w.machines[1].up = false
			w.inventory()
			w.scheduler.RemoveWorker(w.clock(), w.machines[1].ID)
			w.propose()
		})
	}
}

func TestPromisesUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults []fault
	}{
		{"calm", nil},
		{"takeovers", []fault{takeovers}},
		{"late orders", []fault{lateOrders}},
		{"crashes", []fault{crashes}},
		{"cuts", []fault{cuts}},
		{"cancels", []fault{cancels}},
		{"failures", []fault{failures}},
		{"stalls", []fault{stalls}},
		{"drains", []fault{drains}},
		{"late orders and takeovers", []fault{lateOrders, takeovers}},
		{"cuts and takeovers", []fault{cuts, takeovers}},
		{"everything", []fault{takeovers, lateOrders, crashes, cuts, cancels, stalls, drains}},
	}
	const seeds = 20
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				w := play(seed, 60, c.faults...)
				if broken := w.verdicts(); len(broken) > 0 {
					t.Fatalf("seed %d: %d broken, first %q", seed, len(broken), broken[:min(len(broken), 5)])
				}
			}
		})
	}
}

func TestSameEventsSameEffects(t *testing.T) {
	Convey("Two plays of one seed end in the same durable state", t, func() {
		first := play(7, 40, takeovers, cuts)
		second := play(7, 40, takeovers, cuts)
		So(second.durable, ShouldResemble, first.durable)
	})
}

func TestForgottenRecordsAreSeen(t *testing.T) {
	Convey("A state that is not kept breaks promises, and the judge sees it", t, func() {
		w := newWorld(1, 9)
		w.lostRecord = true
		for number := range 20 {
			w.submit(w.randomJob(number + 1))
		}
		for step := range 600 {
			if step%100 == 99 {
				w.elect()
				for _, facts := range w.jobs {
					w.scheduler.Submit(w.clock(), &facts.request)
				}
				w.propose()
			}
			w.step()
		}
		So(len(w.broken), ShouldBeGreaterThan, 0)
	})
}
