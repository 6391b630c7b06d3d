package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
)

// A cancellation that finds no job leaves nothing behind; the operators' page says what to do.
func TestJobThatArrivesAfterItsCancellation(t *testing.T) {
	id := job.ID("00000000000000aa")
	now := Now{Monotonic: time.Unix(1000, 0), WallMS: 1_000_000}
	Convey("A job arrives after a cancellation that found nothing", t, func() {
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

func TestEndedJobIsRetainedByBothClocks(t *testing.T) {
	const kept = time.Minute
	settings := Settings{StatusRetention: kept, MaxLease: time.Second}
	id := job.ID("00000000000000aa")
	submit := &jobapi.SubmitRequest{ID: id, Specification: job.Specification{Stages: []job.Stage{{Count: 1}}}}
	start := Now{Monotonic: time.Unix(1000, 0), WallMS: 1_000_000}
	later := func(steady, wall time.Duration) Now {
		return Now{Monotonic: start.Monotonic.Add(steady), WallMS: start.WallMS + wall.Milliseconds()}
	}
	Convey("Given a job that was cancelled", t, func() {
		jobs, err := New(settings, start, nil)
		So(err, ShouldBeNil)
		jobs.Submit(start, submit)
		So(jobs.Cancel(start, id), ShouldBeTrue)
		state := func(now Now) job.State {
			jobs.Tick(now)
			jobs.Submit(now, submit)
			state, _ := jobs.Status(id)
			return state
		}
		Convey("submitted again it stays cancelled for the retention time", func() {
			So(state(later(kept-time.Second, kept-time.Second)), ShouldEqual, job.Cancelled)
		})
		Convey("also where the time of day is set forward or back", func() {
			So(state(later(time.Second, 24*time.Hour)), ShouldEqual, job.Cancelled)
			So(state(later(2*time.Second, -24*time.Hour)), ShouldEqual, job.Cancelled)
		})
		Convey("also under a successor whose time of day is ahead", func() {
			durable := map[string][]byte{}
			for _, entry := range jobs.TakeEffects().Entries {
				if entry.Value == nil {
					delete(durable, entry.Key)
				} else {
					durable[entry.Key] = entry.Value
				}
			}
			jobs, err = New(settings, later(time.Second, 24*time.Hour), durable)
			So(err, ShouldBeNil)
			So(state(later(2*time.Second, 24*time.Hour)), ShouldEqual, job.Cancelled)
		})
		Convey("afterwards it is forgotten, also where the time of day was set back for good", func() {
			jobs.Tick(later(kept+time.Second, kept+time.Second))
			_, known := jobs.Status(id)
			So(known, ShouldBeFalse)
			jobs.Submit(start, submit)
			So(jobs.Cancel(start, id), ShouldBeTrue)
			jobs.Tick(later(kept+time.Second, -24*time.Hour))
			_, known = jobs.Status(id)
			So(known, ShouldBeFalse)
		})
	})
}
