package override

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireForms pins the records that are kept on disk.
func TestWireForms(t *testing.T) {
	goldentest.Check(t, goldentest.JSON,
		goldentest.Form{Name: "override", Value: new(Override)},
		goldentest.Form{Name: "change", Value: new(Change)},
	)
}
