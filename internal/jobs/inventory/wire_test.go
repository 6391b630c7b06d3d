package inventory

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireForms pins the encoded forms of the types that leave the process.
func TestWireForms(t *testing.T) {
	goldentest.Check(t, goldentest.JSON,
		goldentest.Form{Name: "page", Value: new(page)},
		goldentest.Form{Name: "entry", Value: new(instanceEntry)},
	)
}

// TestWireConstants pins the constants that leave the process.
func TestWireConstants(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: stateDraining, Want: "draining"},
	)
}
