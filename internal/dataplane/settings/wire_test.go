package settings

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestEncodedFormsMatchGoldenFiles guards the JSON keys of the settings, which this package only reads.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.JSON, goldentest.Form{Name: "settings", Value: new(wire)})
}
