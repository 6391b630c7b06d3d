package main

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireConstants pins the constants that leave the process.
func TestWireConstants(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: defaultCommand, Want: "serve"},
		goldentest.Constant{Have: controlVariable, Want: "PUFFINLINK_CONTROL"},
		goldentest.Constant{Have: exitFailed, Want: 1},
		goldentest.Constant{Have: exitUsage, Want: 2},
		goldentest.Constant{Have: exitRefused, Want: 3},
		goldentest.Constant{Have: exitConflict, Want: 4},
		goldentest.Constant{Have: exitUnreachable, Want: 5},
	)
}
