package coordinator

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireConstantsAreUnchanged checks the constants that other processes or operators see.
func TestWireConstantsAreUnchanged(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: configurationRegister, Want: "configuration"},
		goldentest.Constant{Have: commandsByInvocation, Want: "invocation"},
		goldentest.Constant{Have: serviceLabel, Want: "service"},
	)
}
