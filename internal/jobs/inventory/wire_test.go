package inventory

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireForms checks that the encodings of the types on the wire do not change.
func TestWireForms(t *testing.T) {
	goldentest.Check(t, goldentest.JSON,
		goldentest.Form{Name: "page", Value: new(page)},
		goldentest.Form{Name: "entry", Value: new(instanceEntry)},
	)
}

// TestWireConstants checks that the constants on the wire do not change.
func TestWireConstants(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: stateDraining, Want: "draining"},
	)
}
