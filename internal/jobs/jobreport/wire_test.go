package jobreport

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestEncodedFormsMatchGoldenFiles guards against accidental changes of the encoding of types that are stored or sent to
// other processes.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.MessagePack,
		goldentest.Form{Name: "summary request", Value: new(SummaryRequest)},
		goldentest.Form{Name: "summary reply", Value: new(SummaryReply)},
		goldentest.Form{Name: "searchers request", Value: new(WorkersRequest)},
		goldentest.Form{Name: "searchers reply", Value: new(WorkersReply)},
		goldentest.Form{Name: "jobs request", Value: new(JobsRequest)},
		goldentest.Form{Name: "jobs reply", Value: new(JobsReply)},
		goldentest.Form{Name: "job request", Value: new(JobRequest)},
		goldentest.Form{Name: "job reply", Value: new(JobReply)},
		goldentest.Form{Name: "why request", Value: new(ExplainRequest)},
		goldentest.Form{Name: "why reply", Value: new(ExplainReply)},
		goldentest.Form{Name: "drain request", Value: new(DrainRequest)},
		goldentest.Form{Name: "drain reply", Value: new(DrainReply)},
		goldentest.Form{Name: "summary", Value: new(Summary)},
		goldentest.Form{Name: "searcher", Value: new(Worker)},
		goldentest.Form{Name: "task counts", Value: new(TaskCounts)},
		goldentest.Form{Name: "job", Value: new(Job)},
		goldentest.Form{Name: "run", Value: new(Attempt)},
		goldentest.Form{Name: "stage", Value: new(Stage)},
		goldentest.Form{Name: "failure", Value: new(Failure)},
		goldentest.Form{Name: "job detail", Value: new(JobDetail)},
		goldentest.Form{Name: "ruled out", Value: new(Exclusion)},
		goldentest.Form{Name: "waiting", Value: new(WaitingStage)},
		goldentest.Form{Name: "why", Value: new(Explanation)},
	)
	goldentest.Check(t, goldentest.JSON,
		goldentest.Form{Name: "summary", Value: new(Summary)},
		goldentest.Form{Name: "searcher", Value: new(Worker)},
		goldentest.Form{Name: "task counts", Value: new(TaskCounts)},
		goldentest.Form{Name: "job", Value: new(Job)},
		goldentest.Form{Name: "run", Value: new(Attempt)},
		goldentest.Form{Name: "stage", Value: new(Stage)},
		goldentest.Form{Name: "failure", Value: new(Failure)},
		goldentest.Form{Name: "job detail", Value: new(JobDetail)},
		goldentest.Form{Name: "ruled out", Value: new(Exclusion)},
		goldentest.Form{Name: "waiting", Value: new(WaitingStage)},
		goldentest.Form{Name: "why", Value: new(Explanation)},
	)
}

// TestWireConstantsAreUnchanged guards against accidental changes of constants that are stored or sent to other processes.
func TestWireConstantsAreUnchanged(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: DrainApplied, Want: 0},
		goldentest.Constant{Have: DrainSuperseded, Want: 1},
		goldentest.Constant{Have: DrainIndeterminate, Want: 2},
		goldentest.Constant{Have: DrainWorkerUnknown, Want: 3},
		goldentest.Constant{Have: WorkerUnreachable, Want: "unreachable"},
		goldentest.Constant{Have: WorkerDraining, Want: "draining"},
		goldentest.Constant{Have: WorkerOperatorDraining, Want: "operatorDraining"},
		goldentest.Constant{Have: WorkerNotFenced, Want: "notFenced"},
		goldentest.Constant{Have: WorkerBackoff, Want: "resting"},
		goldentest.Constant{Have: WorkerReady, Want: "ready"},
		goldentest.Constant{Have: CauseMissingLabel, Want: "label"},
		goldentest.Constant{Have: CauseTotalCapacity, Want: "size"},
		goldentest.Constant{Have: CauseDraining, Want: "draining"},
		goldentest.Constant{Have: CauseOperatorDraining, Want: "operatorDraining"},
		goldentest.Constant{Have: CauseNotInInventory, Want: "unlisted"},
		goldentest.Constant{Have: CauseUnreachable, Want: "unreachable"},
		goldentest.Constant{Have: CauseNotFenced, Want: "notFenced"},
		goldentest.Constant{Have: CauseOrphans, Want: "unwantedRuns"},
		goldentest.Constant{Have: CauseBackoff, Want: "resting"},
		goldentest.Constant{Have: CauseWindow, Want: "window"},
		goldentest.Constant{Have: CauseFreeCapacity, Want: "room"},
		goldentest.Constant{Have: CauseAntiAffinity, Want: "antiAffinity"},
		goldentest.Constant{Have: CauseOther, Want: "other"},
		goldentest.Constant{Have: ReasonDependsOn, Want: "dependsOn"},
		goldentest.Constant{Have: ReasonNotDue, Want: "notDue"},
		goldentest.Constant{Have: ReasonGangActive, Want: "gangParts"},
		goldentest.Constant{Have: ReasonGangCapacity, Want: "gangRoom"},
		goldentest.Constant{Have: ReasonBackoff, Want: "pause"},
		goldentest.Constant{Have: ReasonNoWorker, Want: "noSearcher"},
		goldentest.Constant{Have: ReasonQueueOrder, Want: "turn"},
		goldentest.Constant{Have: SummaryCall.Path(), Want: "/jobs/report/summary"},
		goldentest.Constant{Have: WorkersCall.Path(), Want: "/jobs/report/searchers"},
		goldentest.Constant{Have: JobsCall.Path(), Want: "/jobs/report/jobs"},
		goldentest.Constant{Have: JobCall.Path(), Want: "/jobs/report/job"},
		goldentest.Constant{Have: ExplainCall.Path(), Want: "/jobs/report/why"},
		goldentest.Constant{Have: DrainCall.Path(), Want: "/jobs/report/drain"},
	)
}
