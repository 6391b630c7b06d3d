package members

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireForms pins the encoded forms of the types that leave the process.
func TestWireForms(t *testing.T) {
	goldentest.Check(t, goldentest.CBOR,
		goldentest.Form{Name: "news", Value: new(News)},
		goldentest.Form{Name: "message", Value: new(Message)},
	)
}
