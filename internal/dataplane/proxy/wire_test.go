package proxy

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestEncodedFormsMatchGoldenFiles compares the encoded forms of the types that are sent to clients with the golden file.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.JSON,
		goldentest.Form{Name: "state answer", Value: new(stateResponse)},
		goldentest.Form{Name: "pending answer", Value: new(pendingResponse)},
		goldentest.Form{Name: "error answer", Value: new(errorResponse)},
	)
}

// TestWireConstantsAreUnchanged checks the constants that are part of the HTTP interface.
func TestWireConstantsAreUnchanged(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: deadlineHeader, Want: "Deadline-Remaining"},
		goldentest.Constant{Have: ReadinessPath, Want: "/-/readiness"},
	)
}
