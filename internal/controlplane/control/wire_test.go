package control

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestEncodedFormsMatchGoldenFiles checks the JSON encoding of the response bodies.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.JSONExperiment,
		goldentest.Form{Name: "accepted", Value: new(acceptedResponse)},
		goldentest.Form{Name: "failure", Value: new(ErrorResponse)},
	)
}

// TestWireConstantsAreUnchanged checks the URL path that operators use.
func TestWireConstantsAreUnchanged(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: ConfigurationPath, Want: "/-/configuration"},
	)
}
