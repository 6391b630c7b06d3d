package job

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestEncodedFormsMatchGoldenFiles guards against accidental changes of the encoding of types that are stored or sent to
// other processes.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.MessagePack,
		goldentest.Form{Name: "task id", Value: new(TaskID)},
		goldentest.Form{Name: "resources", Value: new(Resources)},
		goldentest.Form{Name: "stage", Value: new(Stage)},
		goldentest.Form{Name: "specification", Value: new(Specification)},
	)
	goldentest.Check(t, goldentest.JSON,
		goldentest.Form{Name: "resources", Value: new(Resources)},
		goldentest.Form{Name: "stage", Value: new(Stage)},
		goldentest.Form{Name: "specification", Value: new(Specification)},
	)
}

// TestWireConstantsAreUnchanged guards against accidental changes of constants that are stored or sent to other processes.
func TestWireConstantsAreUnchanged(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: Queued, Want: "queued"},
		goldentest.Constant{Have: Running, Want: "running"},
		goldentest.Constant{Have: Completed, Want: "completed"},
		goldentest.Constant{Have: Failed, Want: "failed"},
		goldentest.Constant{Have: Cancelled, Want: "cancelled"},
		goldentest.Constant{Have: OutcomeDone, Want: "done"},
		goldentest.Constant{Have: OutcomeFailed, Want: "failed"},
		goldentest.Constant{Have: OutcomeStopped, Want: "stopped"},
		goldentest.Constant{Have: OutcomeLeaseExpired, Want: "lapsed"},
		goldentest.Constant{Have: OutcomeGangBroken, Want: "broken"},
		goldentest.Constant{Have: OutcomeGangIncomplete, Want: "alone"},
	)
}
