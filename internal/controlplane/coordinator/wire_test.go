package coordinator

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireConstants pins the constants that leave the process.
func TestWireConstants(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: configurationRegister, Want: "configuration"},
		goldentest.Constant{Have: commandsByInvocation, Want: "invocation"},
		goldentest.Constant{Have: serviceLabel, Want: "service"},
	)
}
