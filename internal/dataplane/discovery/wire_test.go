package discovery

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireForms pins the encoded forms of the types that leave the process.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.JSON,
		goldentest.Form{Name: "entry", Value: new(entry)},
		goldentest.Form{Name: "page", Value: new(page)},
	)
}
