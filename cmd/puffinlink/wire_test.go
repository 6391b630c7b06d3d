package main

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
	"puffinlink.example/puffinlink/internal/operators/operatorfile"
	"puffinlink.example/puffinlink/internal/tools/demo"
	"puffinlink.example/puffinlink/internal/tools/demo/cluster"
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

// TestWireForms pins what commands print with --json, and the files that they read.
func TestWireForms(t *testing.T) {
	goldentest.Check(t, goldentest.JSON,
		goldentest.Form{Name: "applied", Value: new(applied)},
		goldentest.Form{Name: "plan report", Value: new(planReport)},
		goldentest.Form{Name: "plan side", Value: new(planComparison)},
		goldentest.Form{Name: "synth file", Value: new(synthFile)},
		goldentest.Form{Name: "operators' file token", Value: new(tokenEntry)},
		goldentest.Form{Name: "operators' file", Value: new(operatorfile.File)},
		goldentest.Form{Name: "system demo summary", Value: new(cluster.Summary)},
		goldentest.Form{Name: "demo summary", Value: new(demo.Summary)},
	)
}
