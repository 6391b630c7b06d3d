package job

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireForms pins the encoded forms of the types that leave the process.
func TestWireForms(t *testing.T) {
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

// TestWireConstants pins the constants that leave the process.
func TestWireConstants(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: Queued, Want: "queued"},
		goldentest.Constant{Have: Running, Want: "running"},
		goldentest.Constant{Have: Completed, Want: "completed"},
		goldentest.Constant{Have: Failed, Want: "failed"},
		goldentest.Constant{Have: Cancelled, Want: "cancelled"},
		goldentest.Constant{Have: Done, Want: "done"},
		goldentest.Constant{Have: Failure, Want: "failed"},
		goldentest.Constant{Have: Stopped, Want: "stopped"},
		goldentest.Constant{Have: Lapsed, Want: "lapsed"},
		goldentest.Constant{Have: Broken, Want: "broken"},
		goldentest.Constant{Have: Alone, Want: "alone"},
	)
}
