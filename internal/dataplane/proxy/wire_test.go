package proxy

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireForms pins the encoded forms of the types that leave the process.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.JSON,
		goldentest.Form{Name: "state answer", Value: new(stateResponse)},
		goldentest.Form{Name: "pending answer", Value: new(pendingResponse)},
		goldentest.Form{Name: "error answer", Value: new(errorResponse)},
	)
}

// TestWireConstants pins the constants that leave the process.
func TestWireConstantsAreUnchanged(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: deadlineHeader, Want: "Deadline-Remaining"},
		goldentest.Constant{Have: ReadinessPath, Want: "/-/readiness"},
	)
}
