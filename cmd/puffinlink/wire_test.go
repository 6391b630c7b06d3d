package main

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
	"puffinlink.example/puffinlink/internal/operators/operatorfile"
	"puffinlink.example/puffinlink/internal/tools/demo"
	"puffinlink.example/puffinlink/internal/tools/demo/cluster"
)

// TestWireConstantsAreUnchanged checks the constants that users and scripts depend on.
func TestWireConstantsAreUnchanged(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: defaultCommand, Want: "serve"},
		goldentest.Constant{Have: controlAddressVariable, Want: "PUFFINLINK_CONTROL"},
		goldentest.Constant{Have: exitFailed, Want: 1},
		goldentest.Constant{Have: exitUsage, Want: 2},
		goldentest.Constant{Have: exitRefused, Want: 3},
		goldentest.Constant{Have: exitConflict, Want: 4},
		goldentest.Constant{Have: exitUnreachable, Want: 5},
	)
}

// TestEncodedFormsMatchGoldenFiles checks the format of what commands print with --json and of the files that they read.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.JSON,
		goldentest.Form{Name: "applied", Value: new(applyResult)},
		goldentest.Form{Name: "plan report", Value: new(planReport)},
		goldentest.Form{Name: "plan side", Value: new(planComparison)},
		goldentest.Form{Name: "synth file", Value: new(synthFile)},
		goldentest.Form{Name: "operators' file token", Value: new(tokenEntry)},
		goldentest.Form{Name: "operators' file", Value: new(operatorfile.File)},
		goldentest.Form{Name: "system demo summary", Value: new(cluster.Summary)},
		goldentest.Form{Name: "demo summary", Value: new(demo.Summary)},
	)
}
