package transport

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireConstants pins the constants that leave the process.
func TestWireConstants(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: separator, Want: "/"},
		goldentest.Constant{Have: anyone, Want: "*"},
		goldentest.Constant{Have: ToHeader, Want: "Puffinlink-To"},
		goldentest.Constant{Have: FromHeader, Want: "Puffinlink-From"},
		goldentest.Constant{Have: ClockHeader, Want: "Puffinlink-Clock"},
		goldentest.Constant{Have: UntilHeader, Want: "Puffinlink-Until"},
		goldentest.Constant{Have: RetryAfterHeader, Want: "Retry-After-Ms"},
		goldentest.Constant{Have: contentType, Want: "application/msgpack"},
		goldentest.Constant{Have: contentTypeHeader, Want: "Content-Type"},
		goldentest.Constant{Have: identityCall.Path(), Want: "/transport/identity"},
	)
}
