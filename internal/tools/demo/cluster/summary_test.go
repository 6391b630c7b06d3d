package cluster

import (
	"bytes"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/jobs/job"
)

var baseTime = time.Unix(1_700_000_000, 0)

// runRecord returns a run of the only task of job a. It starts and ends at the given seconds after baseTime; if to is 0, it is
// still active.
func runRecord(from, to int, outcome job.Outcome, acknowledged bool) cluster.AttemptRecord {
	record := cluster.AttemptRecord{Task: job.TaskID{Job: "a"}, StartedAt: baseTime.Add(time.Duration(from) * time.Second), Outcome: outcome, Acknowledged: acknowledged}
	if to > 0 {
		record.EndedAt = baseTime.Add(time.Duration(to) * time.Second)
	}
	return record
}

func TestDuplicatedTasksAreFound(t *testing.T) {
	cases := []struct {
		name       string
		runs       []cluster.AttemptRecord
		duplicated int
	}{
		{"one run", []cluster.AttemptRecord{runRecord(1, 2, job.OutcomeDone, true)}, 0},
		{"a run after a failed one", []cluster.AttemptRecord{runRecord(1, 2, job.OutcomeFailed, true), runRecord(3, 4, job.OutcomeDone, true)}, 0},
		{"a run after one whose outcome was not acknowledged", []cluster.AttemptRecord{runRecord(1, 2, job.OutcomeDone, false), runRecord(3, 4, job.OutcomeDone, true)}, 0},
		{"a run after one whose outcome was acknowledged", []cluster.AttemptRecord{runRecord(1, 2, job.OutcomeDone, true), runRecord(3, 4, job.OutcomeDone, true)}, 1},
		{"two runs at once", []cluster.AttemptRecord{runRecord(1, 4, job.OutcomeDone, true), runRecord(2, 3, job.OutcomeFailed, true)}, 1},
		{"a run during one that is still active", []cluster.AttemptRecord{runRecord(1, 0, "", false), runRecord(2, 3, job.OutcomeDone, true)}, 1},
	}
	for _, testCase := range cases {
		Convey("Duplicated tasks: "+testCase.name, t, func() { So(duplicatedTasks(testCase.runs), ShouldHaveLength, testCase.duplicated) })
	}
}

func TestSummaryCountsJobsAndTasks(t *testing.T) {
	Convey("Given a job of one task", t, func() {
		specification := &job.Specification{Stages: []job.Stage{{Count: 1}}}
		done := []cluster.AttemptRecord{runRecord(1, 2, job.OutcomeDone, true)}
		submitted := submission{id: "a", specification: specification, accepted: true, state: job.Completed}
		expected := Summary{Jobs: 1, Accepted: 1, Completed: 1, Tasks: 1, CompletedTasks: 1, Runs: 1}

		Convey("a completed job whose task was done is a success if all faults were injected", func() {
			summary := countJobs([]submission{submitted}, done)
			So(summary, ShouldResemble, expected)
			So(summary.Succeeded(), ShouldBeFalse)
			summary.AllAnswered, summary.Faults = true, []string{"one", "two"}
			So(summary.Succeeded(), ShouldBeTrue)
			for _, change := range []func(s *Summary){
				func(s *Summary) { s.LostJobs = 1 }, func(s *Summary) { s.LostTasks = 1 }, func(s *Summary) { s.DuplicatedTasks = 1 },
				func(s *Summary) { s.RunsOfRejectedJobs = 1 }, func(s *Summary) { s.UnexpectedExits = []string{"core-1"} },
				func(s *Summary) { s.AllAnswered = false }, func(s *Summary) { s.Faults = nil }, func(s *Summary) { s.Accepted = 0 },
			} {
				changed := summary
				change(&changed)
				So(changed.Succeeded(), ShouldBeFalse)
			}
		})
		Convey("a job reported as completed without a run of its task has lost a task", func() {
			So(countJobs([]submission{submitted}, nil).LostTasks, ShouldEqual, 1)
		})
		Convey("an accepted job that is not completed is lost, unless it was cancelled", func() {
			submitted.state = job.Running
			So(countJobs([]submission{submitted}, nil).LostJobs, ShouldEqual, 1)
			submitted.state = job.Cancelled
			summary := countJobs([]submission{submitted}, nil)
			So(summary.LostJobs, ShouldEqual, 0)
			So(summary.Cancelled, ShouldEqual, 1)
		})
		Convey("a run of a rejected job is counted", func() {
			So(countJobs([]submission{{id: "a", specification: specification, rejected: true}}, done).RunsOfRejectedJobs, ShouldEqual, 1)
		})
		Convey("the counts are printed", func() {
			var out bytes.Buffer
			expected.Print(&out)
			So(out.String(), ShouldContainSubstring, "lost 0, doubled 0")
			So(out.String(), ShouldContainSubstring, "some clients got no final answer")
		})
	})
}

func TestInvalidOptionsAreRejected(t *testing.T) {
	Convey("Invalid options are rejected", t, func() {
		valid := Options{LoadDuration: time.Second, ProgressInterval: time.Second, WorkersPerService: 3, JobsPerSecond: 1}
		So(valid.Validate(), ShouldBeNil)
		for _, change := range []func(o *Options){
			func(o *Options) { o.LoadDuration = 0 }, func(o *Options) { o.ProgressInterval = -1 }, func(o *Options) { o.WorkersPerService = 1 }, func(o *Options) { o.JobsPerSecond = 1e6 },
		} {
			changed := valid
			change(&changed)
			So(changed.Validate(), ShouldNotBeNil)
		}
	})
}
