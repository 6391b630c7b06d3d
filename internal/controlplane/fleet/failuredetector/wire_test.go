package failuredetector

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestEncodedFormsMatchGoldenFiles checks the encoded forms of the types that are sent or stored.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.CBOR,
		goldentest.Form{Name: "news", Value: new(Update)},
		goldentest.Form{Name: "message", Value: new(Message)},
	)
}

// TestWireConstantsAreUnchanged checks the constants that are sent or stored.
func TestWireConstantsAreUnchanged(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: Alive, Want: 1},
		goldentest.Constant{Have: Suspect, Want: 2},
		goldentest.Constant{Have: Dead, Want: 4},
		goldentest.Constant{Have: Ping, Want: 0},
		goldentest.Constant{Have: Ack, Want: 1},
		goldentest.Constant{Have: PingRequest, Want: 2},
		goldentest.Constant{Have: Nack, Want: 3},
	)
}
