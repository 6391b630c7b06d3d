package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
)

// The cancellation of an unknown job is not recorded, so a submission that arrives later is accepted. The operators'
// documentation describes how to handle this case.
func TestJobSubmittedAfterItsCancellationIsQueued(t *testing.T) {
	id := job.ID("00000000000000aa")
	now := Now{Monotonic: time.Unix(1000, 0), WallMS: 1_000_000}
	Convey("A job that is submitted after its cancellation is queued, and can be cancelled again", t, func() {
		jobs, err := New(Settings{StatusRetention: time.Minute, MaxLease: time.Second}, now, nil)
		So(err, ShouldBeNil)
		So(jobs.Cancel(now, id), ShouldBeFalse)
		effects := jobs.TakeEffects()
		So(effects.Empty(), ShouldBeTrue)
		jobs.Submit(now, &jobapi.SubmitRequest{ID: id, Specification: job.Specification{Stages: []job.Stage{{Count: 1}}}})
		state, known := jobs.Status(id)
		So(known, ShouldBeTrue)
		So(state, ShouldEqual, job.Queued)
		So(jobs.Cancel(now, id), ShouldBeTrue)
	})
}

// An ended job that is removed too early runs a second time when its client submits it again. The wall clock may jump, so
// the job must be retained for the full time on the monotonic clock too.
func TestEndedJobIsRetainedDespiteWallClockJumps(t *testing.T) {
	const retention = time.Minute
	settings := Settings{StatusRetention: retention, MaxLease: time.Second}
	id := job.ID("00000000000000aa")
	submit := &jobapi.SubmitRequest{ID: id, Specification: job.Specification{Stages: []job.Stage{{Count: 1}}}}
	start := Now{Monotonic: time.Unix(1000, 0), WallMS: 1_000_000}
	after := func(monotonic, wall time.Duration) Now {
		return Now{Monotonic: start.Monotonic.Add(monotonic), WallMS: start.WallMS + wall.Milliseconds()}
	}
	Convey("Given a job that was cancelled", t, func() {
		jobs, err := New(settings, start, nil)
		So(err, ShouldBeNil)
		jobs.Submit(start, submit)
		So(jobs.Cancel(start, id), ShouldBeTrue)
		stateAfterResubmission := func(now Now) job.State {
			jobs.Tick(now)
			jobs.Submit(now, submit)
			state, _ := jobs.Status(id)
			return state
		}
		Convey("it remains cancelled during the retention time, even if it is submitted again", func() {
			So(stateAfterResubmission(after(retention-time.Second, retention-time.Second)), ShouldEqual, job.Cancelled)
		})
		Convey("it remains cancelled if the wall clock jumps forward or back", func() {
			So(stateAfterResubmission(after(time.Second, 24*time.Hour)), ShouldEqual, job.Cancelled)
			So(stateAfterResubmission(after(2*time.Second, -24*time.Hour)), ShouldEqual, job.Cancelled)
		})
		Convey("it remains cancelled under a new leader whose wall clock is ahead", func() {
			durable := map[string][]byte{}
			for _, entry := range jobs.TakeEffects().Entries {
				if entry.Value == nil {
					delete(durable, entry.Key)
				} else {
					durable[entry.Key] = entry.Value
				}
			}
			jobs, err = New(settings, after(time.Second, 24*time.Hour), durable)
			So(err, ShouldBeNil)
			So(stateAfterResubmission(after(2*time.Second, 24*time.Hour)), ShouldEqual, job.Cancelled)
		})
		Convey("it is removed after the retention time, even if the wall clock has been set back permanently", func() {
			jobs.Tick(after(retention+time.Second, retention+time.Second))
			_, known := jobs.Status(id)
			So(known, ShouldBeFalse)
			jobs.Submit(start, submit)
			So(jobs.Cancel(start, id), ShouldBeTrue)
			jobs.Tick(after(retention+time.Second, -24*time.Hour))
			_, known = jobs.Status(id)
			So(known, ShouldBeFalse)
		})
	})
}
