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
