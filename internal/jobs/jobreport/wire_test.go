package jobreport

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireForms pins the encoded forms of the types that leave the process.
func TestWireForms(t *testing.T) {
	goldentest.Check(t, goldentest.MessagePack,
		goldentest.Form{Name: "summary request", Value: new(SummaryRequest)},
		goldentest.Form{Name: "summary reply", Value: new(SummaryReply)},
		goldentest.Form{Name: "searchers request", Value: new(WorkersRequest)},
		goldentest.Form{Name: "searchers reply", Value: new(WorkersReply)},
		goldentest.Form{Name: "jobs request", Value: new(JobsRequest)},
		goldentest.Form{Name: "jobs reply", Value: new(JobsReply)},
		goldentest.Form{Name: "job request", Value: new(JobRequest)},
		goldentest.Form{Name: "job reply", Value: new(JobReply)},
		goldentest.Form{Name: "why request", Value: new(WhyRequest)},
		goldentest.Form{Name: "why reply", Value: new(WhyReply)},
		goldentest.Form{Name: "drain request", Value: new(DrainRequest)},
		goldentest.Form{Name: "drain reply", Value: new(DrainReply)},
		goldentest.Form{Name: "summary", Value: new(Summary)},
		goldentest.Form{Name: "searcher", Value: new(Worker)},
		goldentest.Form{Name: "task counts", Value: new(TaskCounts)},
		goldentest.Form{Name: "job", Value: new(Job)},
		goldentest.Form{Name: "run", Value: new(Run)},
		goldentest.Form{Name: "stage", Value: new(Stage)},
		goldentest.Form{Name: "failure", Value: new(Failure)},
		goldentest.Form{Name: "job detail", Value: new(JobDetail)},
		goldentest.Form{Name: "ruled out", Value: new(RuledOut)},
		goldentest.Form{Name: "waiting", Value: new(Waiting)},
		goldentest.Form{Name: "why", Value: new(Why)},
	)
	goldentest.Check(t, goldentest.JSON,
		goldentest.Form{Name: "summary", Value: new(Summary)},
		goldentest.Form{Name: "searcher", Value: new(Worker)},
		goldentest.Form{Name: "task counts", Value: new(TaskCounts)},
		goldentest.Form{Name: "job", Value: new(Job)},
		goldentest.Form{Name: "run", Value: new(Run)},
		goldentest.Form{Name: "stage", Value: new(Stage)},
		goldentest.Form{Name: "failure", Value: new(Failure)},
		goldentest.Form{Name: "job detail", Value: new(JobDetail)},
		goldentest.Form{Name: "ruled out", Value: new(RuledOut)},
		goldentest.Form{Name: "waiting", Value: new(Waiting)},
		goldentest.Form{Name: "why", Value: new(Why)},
	)
}

// TestWireConstants pins the constants that leave the process.
func TestWireConstants(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: DrainTaken, Want: 0},
		goldentest.Constant{Have: DrainSuperseded, Want: 1},
		goldentest.Constant{Have: DrainUnclear, Want: 2},
		goldentest.Constant{Have: DrainUnknown, Want: 3},
		goldentest.Constant{Have: WorkerUnreachable, Want: "unreachable"},
		goldentest.Constant{Have: WorkerDraining, Want: "draining"},
		goldentest.Constant{Have: WorkerOperatorDraining, Want: "operatorDraining"},
		goldentest.Constant{Have: WorkerNotFenced, Want: "notFenced"},
		goldentest.Constant{Have: WorkerResting, Want: "resting"},
		goldentest.Constant{Have: WorkerReady, Want: "ready"},
		goldentest.Constant{Have: CauseLabel, Want: "label"},
		goldentest.Constant{Have: CauseSize, Want: "size"},
		goldentest.Constant{Have: CauseDraining, Want: "draining"},
		goldentest.Constant{Have: CauseOperatorDraining, Want: "operatorDraining"},
		goldentest.Constant{Have: CauseUnlisted, Want: "unlisted"},
		goldentest.Constant{Have: CauseUnreachable, Want: "unreachable"},
		goldentest.Constant{Have: CauseNotFenced, Want: "notFenced"},
		goldentest.Constant{Have: CauseUnwantedRuns, Want: "unwantedRuns"},
		goldentest.Constant{Have: CauseResting, Want: "resting"},
		goldentest.Constant{Have: CauseWindow, Want: "window"},
		goldentest.Constant{Have: CauseRoom, Want: "room"},
		goldentest.Constant{Have: CauseAntiAffinity, Want: "antiAffinity"},
		goldentest.Constant{Have: CauseOther, Want: "other"},
		goldentest.Constant{Have: ReasonDependsOn, Want: "dependsOn"},
		goldentest.Constant{Have: ReasonNotDue, Want: "notDue"},
		goldentest.Constant{Have: ReasonGangParts, Want: "gangParts"},
		goldentest.Constant{Have: ReasonGangRoom, Want: "gangRoom"},
		goldentest.Constant{Have: ReasonPause, Want: "pause"},
		goldentest.Constant{Have: ReasonNoWorker, Want: "noSearcher"},
		goldentest.Constant{Have: ReasonTurn, Want: "turn"},
		goldentest.Constant{Have: SummaryCall.Path(), Want: "/jobs/report/summary"},
		goldentest.Constant{Have: WorkersCall.Path(), Want: "/jobs/report/searchers"},
		goldentest.Constant{Have: JobsCall.Path(), Want: "/jobs/report/jobs"},
		goldentest.Constant{Have: JobCall.Path(), Want: "/jobs/report/job"},
		goldentest.Constant{Have: WhyCall.Path(), Want: "/jobs/report/why"},
		goldentest.Constant{Have: DrainCall.Path(), Want: "/jobs/report/drain"},
	)
}
