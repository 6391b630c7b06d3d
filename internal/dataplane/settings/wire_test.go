package settings

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireForms pins the keys of the settings, which this package only reads.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.JSON, goldentest.Form{Name: "settings", Value: new(wire)})
}
