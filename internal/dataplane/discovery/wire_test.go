package discovery

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestEncodedFormsMatchGoldenFiles guards the JSON keys of the registry's list, which this package only reads.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.JSON,
		goldentest.Form{Name: "entry", Value: new(entry)},
		goldentest.Form{Name: "page", Value: new(listMessage)},
	)
}
