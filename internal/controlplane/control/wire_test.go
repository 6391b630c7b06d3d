package control

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireForms pins the encoded forms of the types that leave the process.
func TestWireForms(t *testing.T) {
	goldentest.Check(t, goldentest.JSONExperiment,
		goldentest.Form{Name: "accepted", Value: new(acceptedBody)},
		goldentest.Form{Name: "failure", Value: new(Failure)},
	)
}

// TestWireConstants pins the constants that leave the process.
func TestWireConstants(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: Path, Want: "/-/configuration"},
	)
}
