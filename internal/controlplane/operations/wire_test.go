package operations

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestEncodedFormsMatchGoldenFiles checks the encoded forms of the types that clients of the API see.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.JSONExperiment,
		goldentest.Form{Name: "identity", Value: new(Identity)},
		goldentest.Form{Name: "view", Value: new(View)},
		goldentest.Form{Name: "member", Value: new(Member)},
		goldentest.Form{Name: "group", Value: new(Group)},
		goldentest.Form{Name: "status", Value: new(Status)},
		goldentest.Form{Name: "unanswered", Value: new(UnansweredService)},
		goldentest.Form{Name: "searchers", Value: new(WorkerList)},
		goldentest.Form{Name: "jobs", Value: new(JobList)},
		goldentest.Form{Name: "cancelled", Value: new(CancelledJob)},
		goldentest.Form{Name: "failure", Value: new(Failure)},
	)
}

// TestWireConstantsAreUnchanged checks the constants that clients of the API use.
func TestWireConstantsAreUnchanged(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: StatusPath, Want: "/-/status"},
		goldentest.Constant{Have: WorkersPath, Want: "/-/searchers"},
		goldentest.Constant{Have: JobsPath, Want: "/-/jobs"},
		goldentest.Constant{Have: DrainSuffix, Want: "/drain"},
		goldentest.Constant{Have: ExplainSuffix, Want: "/why"},
		goldentest.Constant{Have: ServiceParameter, Want: "service"},
		goldentest.Constant{Have: StateParameter, Want: "state"},
		goldentest.Constant{Have: LimitParameter, Want: "limit"},
	)
}
