package metrics

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireConstantsAreUnchanged checks the constants that other programs rely on.
func TestWireConstantsAreUnchanged(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: Path, Want: "/metrics"},
	)
}
