package failuredetector

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireForms pins the encoded forms of the types that leave the process.
func TestWireForms(t *testing.T) {
	goldentest.Check(t, goldentest.CBOR,
		goldentest.Form{Name: "news", Value: new(Update)},
		goldentest.Form{Name: "message", Value: new(Message)},
	)
}

// TestWireConstants pins the constants that leave the process.
func TestWireConstants(t *testing.T) {
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
