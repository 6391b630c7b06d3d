package metrics

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireConstants pins the constants that leave the process.
func TestWireConstants(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: Path, Want: "/metrics"},
	)
}
