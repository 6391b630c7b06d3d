package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobreport"
)

func TestReportsMatchJobsAndWorkers(t *testing.T) {
	Convey("Given a job with a complete stage, a running stage and a blocked stage", t, func() {
		w := newSimulation(1, 3)
		w.runSteps(20)
		second, third := smallStage(2), smallStage(1)
		second.DependsOn, second.LongRunning, third.DependsOn = []int{0}, true, []int{1}
		id := w.submitStages(1, smallStage(1), second, third)
		w.runSteps(150)

		Convey("the job's report counts its tasks and lists its attempts", func() {
			report, known := w.scheduler.Job(w.clock(), id)
			So(known, ShouldBeTrue)
			So(report.State, ShouldEqual, job.Running)
			So(report.Tasks, ShouldResemble, jobreport.TaskCounts{Done: 1, Running: 2, Blocked: 1})
			So(len(report.Stages), ShouldEqual, 3)
			So(len(report.Attempts), ShouldEqual, 2)
			So(report.Attempts[0].Task, ShouldEqual, string(id)+".0.1.0")
			So(report.Attempts[0].Confirmed, ShouldBeTrue)
			So(report.Truncated, ShouldBeFalse)
		})
		Convey("the workers' reports are consistent with each other and with the summary", func() {
			attempts := 0
			for _, report := range w.scheduler.Workers(w.clock()) {
				So(report.State, ShouldEqual, jobreport.WorkerReady)
				So(report.Used.Add(report.Free), ShouldResemble, report.Capacity)
				attempts += report.Attempts
			}
			So(attempts, ShouldEqual, 2)
			So(w.scheduler.Summary(), ShouldResemble, jobreport.Summary{Running: 1, Attempts: 2, Workers: 3, ReachableWorkers: 3})
		})
		Convey("lists of jobs are filtered by state, sorted and limited", func() {
			for number := 2; number <= 5; number++ {
				w.submitStages(number, smallStage(1))
			}
			cancelled := w.submitStages(6, smallStage(1))
			w.scheduler.Cancel(w.clock(), cancelled)
			all, total := w.scheduler.Jobs("", 100)
			So(total, ShouldEqual, 6)
			So(all[0].ID, ShouldEqual, job.ID("0000000000000005"))
			So(all[5].ID, ShouldEqual, cancelled)
			limited, total := w.scheduler.Jobs("", 2)
			So(len(limited), ShouldEqual, 2)
			So(total, ShouldEqual, 6)
			ended, total := w.scheduler.Jobs(job.Cancelled, 100)
			So(total, ShouldEqual, 1)
			So(ended[0].State, ShouldEqual, job.Cancelled)
		})
		Convey("a job's report lists its failed attempts", func() {
			w.workers[0].failsAllAttempts, w.workers[1].failsAllAttempts, w.workers[2].failsAllAttempts = true, true, true
			failingJob := w.submitStages(7, smallStage(1))
			found := false
			for range 100 {
				w.step()
				report, _ := w.scheduler.Job(w.clock(), failingJob)
				found = found || len(report.Failures) == 1 && len(report.Failures[0].Attempts) > 0
			}
			So(found, ShouldBeTrue)
		})
	})
}

func TestReportsOfLargeJobsAreTruncated(t *testing.T) {
	Convey("The report and the explanation of a very large job are truncated and marked as truncated", t, func() {
		w := newSimulation(1, 3)
		stages := make([]job.Stage, maxReportDetails+1)
		for i := range stages {
			stages[i] = smallStage(1)
			stages[i].Requirements = job.Labels{"none"}
		}
		id := w.submitStages(1, stages...)
		report, _ := w.scheduler.Job(w.clock(), id)
		So(len(report.Stages), ShouldEqual, maxReportDetails)
		So(report.Truncated, ShouldBeTrue)
		explanation, _ := w.scheduler.Explain(w.clock(), id)
		So(len(explanation.WaitingStages), ShouldEqual, maxExplainedStages)
		So(explanation.Truncated, ShouldBeTrue)
	})
}
