package operations

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireForms pins the encoded forms of the types that leave the process.
func TestWireForms(t *testing.T) {
	goldentest.Check(t, goldentest.JSONExperiment,
		goldentest.Form{Name: "identity", Value: new(Identity)},
		goldentest.Form{Name: "view", Value: new(View)},
		goldentest.Form{Name: "member", Value: new(Member)},
		goldentest.Form{Name: "group", Value: new(Group)},
		goldentest.Form{Name: "status", Value: new(Status)},
		goldentest.Form{Name: "unanswered", Value: new(Unanswered)},
		goldentest.Form{Name: "searchers", Value: new(Workers)},
		goldentest.Form{Name: "jobs", Value: new(Jobs)},
		goldentest.Form{Name: "cancelled", Value: new(Cancelled)},
		goldentest.Form{Name: "failure", Value: new(Failure)},
	)
}

// TestWireConstants pins the constants that leave the process.
func TestWireConstants(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: StatusPath, Want: "/-/status"},
		goldentest.Constant{Have: WorkersPath, Want: "/-/searchers"},
		goldentest.Constant{Have: JobsPath, Want: "/-/jobs"},
		goldentest.Constant{Have: DrainSuffix, Want: "/drain"},
		goldentest.Constant{Have: WhySuffix, Want: "/why"},
		goldentest.Constant{Have: ServiceParameter, Want: "service"},
		goldentest.Constant{Have: StateParameter, Want: "state"},
		goldentest.Constant{Have: LimitParameter, Want: "limit"},
	)
}
