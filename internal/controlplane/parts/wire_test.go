package parts

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireForms pins the encoded forms of the types that leave the process.
func TestWireForms(t *testing.T) {
	goldentest.Check(t, goldentest.MessagePack,
		goldentest.Form{Name: "manifest", Value: new(Manifest)},
	)
}
