package cluster

import (
	"bytes"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/jobs/job"
)

var begin = time.Unix(1_700_000_000, 0)

// ran is a run of the only task of job a, from one second to another; it goes on if the latter is 0.
func ran(from, to int, how job.Outcome, acknowledged bool) cluster.AttemptRecord {
	record := cluster.AttemptRecord{Task: job.TaskID{Job: "a"}, StartedAt: begin.Add(time.Duration(from) * time.Second), Outcome: how, Acknowledged: acknowledged}
	if to > 0 {
		record.EndedAt = begin.Add(time.Duration(to) * time.Second)
	}
	return record
}

func TestDuplicatedRuns(t *testing.T) {
	cases := []struct {
		name    string
		runs    []cluster.AttemptRecord
		doubled int
	}{
		{"one run", []cluster.AttemptRecord{ran(1, 2, job.OutcomeDone, true)}, 0},
		{"a run after a failed one", []cluster.AttemptRecord{ran(1, 2, job.OutcomeFailed, true), ran(3, 4, job.OutcomeDone, true)}, 0},
		{"a run after an end that nobody saw", []cluster.AttemptRecord{ran(1, 2, job.OutcomeDone, false), ran(3, 4, job.OutcomeDone, true)}, 0},
		{"a run after an end that was seen", []cluster.AttemptRecord{ran(1, 2, job.OutcomeDone, true), ran(3, 4, job.OutcomeDone, true)}, 1},
		{"two runs at once", []cluster.AttemptRecord{ran(1, 4, job.OutcomeDone, true), ran(2, 3, job.OutcomeFailed, true)}, 1},
		{"a run beside one that goes on", []cluster.AttemptRecord{ran(1, 0, "", false), ran(2, 3, job.OutcomeDone, true)}, 1},
	}
	for _, c := range cases {
		Convey("Doubled: "+c.name, t, func() { So(duplicated(c.runs), ShouldHaveLength, c.doubled) })
	}
}

func TestCounts(t *testing.T) {
	Convey("Given a job of one task", t, func() {
		specification := &job.Specification{Stages: []job.Stage{{Count: 1}}}
		done := []cluster.AttemptRecord{ran(1, 2, job.OutcomeDone, true)}
		handed := submission{id: "a", specification: specification, accepted: true, state: job.Completed}
		good := Summary{Jobs: 1, Accepted: 1, Completed: 1, Tasks: 1, DoneTasks: 1, Runs: 1}

		Convey("one that is completed and was done is good, if all was played", func() {
			summary := count([]submission{handed}, done)
			So(summary, ShouldResemble, good)
			So(summary.Good(), ShouldBeFalse)
			summary.Settled, summary.Faults = true, []string{"one", "two"}
			So(summary.Good(), ShouldBeTrue)
			for _, spoil := range []func(s *Summary){
				func(s *Summary) { s.LostJobs = 1 }, func(s *Summary) { s.LostTasks = 1 }, func(s *Summary) { s.DoubledTasks = 1 },
				func(s *Summary) { s.RefusedRuns = 1 }, func(s *Summary) { s.EndedByItself = []string{"core-1"} },
				func(s *Summary) { s.Settled = false }, func(s *Summary) { s.Faults = nil }, func(s *Summary) { s.Accepted = 0 },
			} {
				bad := summary
				spoil(&bad)
				So(bad.Good(), ShouldBeFalse)
			}
		})
		Convey("one that is shown as completed but was not done has lost a task", func() {
			So(count([]submission{handed}, nil).LostTasks, ShouldEqual, 1)
		})
		Convey("one that was accepted and is not completed is lost, unless it was cancelled", func() {
			handed.state = job.Running
			So(count([]submission{handed}, nil).LostJobs, ShouldEqual, 1)
			handed.state = job.Cancelled
			summary := count([]submission{handed}, nil)
			So(summary.LostJobs, ShouldEqual, 0)
			So(summary.Cancelled, ShouldEqual, 1)
		})
		Convey("a run of a refused one is counted", func() {
			So(count([]submission{{id: "a", specification: specification, refused: true}}, done).RefusedRuns, ShouldEqual, 1)
		})
		Convey("the counts are printed", func() {
			var out bytes.Buffer
			good.Print(&out)
			So(out.String(), ShouldContainSubstring, "lost 0, doubled 0")
			So(out.String(), ShouldContainSubstring, "some clients got no final answer")
		})
	})
}

func TestOptions(t *testing.T) {
	Convey("Options that cannot be meant are refused with a remedy", t, func() {
		good := Options{For: time.Second, Every: time.Second, Workers: 3, JobsPerSecond: 1}
		So(good.Validate(), ShouldBeNil)
		for _, spoil := range []func(o *Options){
			func(o *Options) { o.For = 0 }, func(o *Options) { o.Every = -1 }, func(o *Options) { o.Workers = 1 }, func(o *Options) { o.JobsPerSecond = 1e6 },
		} {
			bad := good
			spoil(&bad)
			So(bad.Validate(), ShouldNotBeNil)
		}
	})
}
