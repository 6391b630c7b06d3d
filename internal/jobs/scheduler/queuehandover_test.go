package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
)

func TestJobsAreKnownByQueueAndID(t *testing.T) {
	const plan, check = queuekey.Key(7), queuekey.Key(8)
	first, second, legacy := job.ID("00000000000000a1"), job.ID("00000000000000a2"), job.ID("00000000000000a3")
	settings := Settings{StatusRetention: time.Minute}
	begin := Now{Monotonic: time.Unix(0, 0), WallMS: 1_700_000_000_000}
	later := func(after time.Duration) Now {
		return Now{Monotonic: begin.Monotonic.Add(after), WallMS: begin.WallMS + after.Milliseconds()}
	}
	submission := func(queue queuekey.Key, id job.ID) *jobapi.SubmitRequest {
		return &jobapi.SubmitRequest{ID: id, Queue: jobapi.Queue{Route: "r", Key: queue}, Specification: job.Specification{Stages: []job.Stage{{Count: 1}}}}
	}
	Convey("Given a scheduler with jobs of two queues, and one that an older build submitted", t, func() {
		s, err := New(settings, begin, nil)
		So(err, ShouldBeNil)
		records := map[string][]byte{}
		commit := func() {
			effects := s.TakeEffects()
			for _, entry := range effects.Entries {
				if records[entry.Key] = entry.Value; entry.Value == nil {
					delete(records, entry.Key)
				}
			}
		}
		So(s.Submit(begin, submission(plan, first)), ShouldBeTrue)
		So(s.Submit(begin, submission(check, second)), ShouldBeTrue)
		Convey("an ID is known in its own queue only, and not accepted from another one", func() {
			So(s.Knows(plan, first), ShouldBeTrue)
			So(s.Knows(check, first), ShouldBeFalse)
			So(s.Knows(queuekey.Unknown, first), ShouldBeTrue)
			So(s.Submit(begin, submission(plan, first)), ShouldBeTrue)
			So(s.Submit(begin, submission(check, first)), ShouldBeFalse)
			So(s.PendingJobs(plan, "r"), ShouldEqual, 1)
			So(s.PendingJobs(queuekey.Unknown, "r"), ShouldEqual, 2)
		})
		Convey("a queue is vacant once its last job is forgotten", func() {
			So(s.IsVacant(plan), ShouldBeFalse)
			s.Cancel(begin, first)
			So(s.PendingJobs(plan, "r"), ShouldEqual, 0)
			So(s.IsVacant(plan), ShouldBeFalse)
			s.Tick(later(2 * time.Minute))
			So(s.IsVacant(plan), ShouldBeTrue)
			So(s.IsVacant(check), ShouldBeFalse)
		})
		Convey("no queue is vacant while there is a job whose queue is not known, and it counts as pending by its route", func() {
			s.Submit(begin, submission(queuekey.Unknown, legacy))
			So(s.Knows(plan, legacy), ShouldBeTrue)
			So(s.IsVacant(queuekey.Key(9)), ShouldBeFalse)
			So(s.PendingJobs(plan, "r"), ShouldEqual, 2)
			So(s.PendingJobs(plan, "other"), ShouldEqual, 1)
		})
		Convey("a successor restores the queues of jobs and what was released", func() {
			s.Cancel(begin, first)
			s.ReleaseQueues(12)
			s.ReleaseQueues(9)
			commit()
			restored, err := New(settings, begin, records)
			So(err, ShouldBeNil)
			So(restored.MinConfigurationVersion(), ShouldEqual, 12)
			So(restored.Knows(plan, first), ShouldBeTrue)
			So(restored.Knows(check, first), ShouldBeFalse)
			So(restored.jobCounts, ShouldResemble, s.jobCounts)
		})
	})
}
