package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
)

// A job whose cancellation overtakes its submission must never run: guards against jobs that nobody asks for any more, which run once a
// paused node wakes (review case 5).
func TestJobCancelledBeforeItsSubmissionNeverRuns(t *testing.T) {
	const plan, check = queuekey.Key(7), queuekey.Key(8)
	const retention = time.Minute
	id := job.ID("00000000000000a1")
	begin := Now{Monotonic: time.Unix(1000, 0), WallMS: 1_700_000_000_000}
	after := func(monotonic, wall time.Duration) Now {
		return Now{Monotonic: begin.Monotonic.Add(monotonic), WallMS: begin.WallMS + wall.Milliseconds()}
	}
	submission := func(queue queuekey.Key) *jobapi.SubmitRequest {
		return &jobapi.SubmitRequest{ID: id, Queue: jobapi.Queue{Route: "r", Key: queue}, Specification: job.Specification{Stages: []job.Stage{{Count: 1}}}}
	}
	Convey("Given a job that was cancelled before it was submitted", t, func() {
		s, err := New(Settings{StatusRetention: retention}, begin, nil)
		So(err, ShouldBeNil)
		records := map[string][]byte{}
		successor := func(now Now) *Scheduler {
			for _, entry := range s.TakeEffects().Entries {
				if records[entry.Key] = entry.Value; entry.Value == nil {
					delete(records, entry.Key)
				}
			}
			restored, err := New(Settings{StatusRetention: retention}, now, records)
			So(err, ShouldBeNil)
			return restored
		}
		stateAfterSubmission := func(s *Scheduler, now Now) job.State {
			s.Tick(now)
			So(s.Submit(now, submission(plan)), ShouldBeTrue)
			state, _ := s.Status(id)
			return state
		}
		So(s.CancelEarly(begin, plan, id), ShouldBeTrue)
		So(s.CancelEarly(begin, plan, id), ShouldBeTrue)
		Convey("it is no job that is shown, and its queue is not vacant", func() {
			So(s.Knows(plan, id), ShouldBeFalse)
			So(s.IsVacant(plan), ShouldBeFalse)
			So(s.PendingJobs(plan, "r"), ShouldEqual, 0)
		})
		Convey("it is cancelled once it is submitted, and stays so", func() {
			So(stateAfterSubmission(s, begin), ShouldEqual, job.Cancelled)
			So(stateAfterSubmission(s, begin), ShouldEqual, job.Cancelled)
			So(s.jobs, ShouldBeEmpty)
			So(s.earlyCancellations, ShouldBeEmpty)
			So(s.jobCounts, ShouldResemble, map[queuekey.Key]jobCounts{plan: {known: 1}})
			Convey("until ended jobs are forgotten", func() {
				s.Tick(after(2*retention, 2*retention))
				So(s.IsVacant(plan), ShouldBeTrue)
			})
		})
		Convey("its submission never runs under a later leader either, before or after it arrives", func() {
			next := successor(after(time.Second, time.Second))
			So(stateAfterSubmission(next, after(2*time.Second, 2*time.Second)), ShouldEqual, job.Cancelled)
			s = next
			So(stateAfterSubmission(successor(after(3*time.Second, 3*time.Second)), after(4*time.Second, 4*time.Second)), ShouldEqual, job.Cancelled)
		})
		Convey("that is remembered for the retention time by both clocks", func() {
			So(stateAfterSubmission(s, after(time.Second, 24*time.Hour)), ShouldEqual, job.Cancelled)
		})
		Convey("and no longer", func() {
			So(stateAfterSubmission(s, after(retention+time.Second, retention+time.Second)), ShouldEqual, job.Queued)
		})
		Convey("the same ID from another queue is another job", func() {
			So(s.Submit(begin, submission(check)), ShouldBeTrue)
			So(s.Knows(check, id), ShouldBeTrue)
			So(s.Submit(begin, submission(plan)), ShouldBeFalse)
		})
	})
	Convey("Cancellations of unknown jobs are bounded in number, and the oldest are not pushed out", t, func() {
		s, err := New(Settings{StatusRetention: retention}, begin, nil)
		So(err, ShouldBeNil)
		for number := range MaxEarlyCancellations {
			s.CancelEarly(begin, plan, job.ID(fmt.Sprintf("%016x", number)))
		}
		So(s.CancelEarly(begin, plan, job.ID(fmt.Sprintf("%016x", MaxEarlyCancellations))), ShouldBeFalse)
		So(s.CancelEarly(begin, plan, job.ID(fmt.Sprintf("%016x", 0))), ShouldBeTrue)
		So(s.SubmitCancelled(begin, plan, job.ID(fmt.Sprintf("%016x", 0))), ShouldBeTrue)
		So(s.CancelEarly(begin, plan, job.ID(fmt.Sprintf("%016x", MaxEarlyCancellations))), ShouldBeTrue)
	})
}
