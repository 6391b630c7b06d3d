package api

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestEncodedFormsMatchGoldenFiles compares the encoded forms of the types in requests and responses with golden files.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.JSON,
		goldentest.Form{Name: "fleet command", Value: new(FleetCommand)},
		goldentest.Form{Name: "contract", Value: new(Contract)},
		goldentest.Form{Name: "quota", Value: new(Quota)},
		goldentest.Form{Name: "override", Value: new(Override)},
		goldentest.Form{Name: "view", Value: new(View)},
		goldentest.Form{Name: "return", Value: new(Recovery)},
		goldentest.Form{Name: "change", Value: new(Change)},
		goldentest.Form{Name: "command", Value: new(Command)},
		goldentest.Form{Name: "why", Value: new(Explanation)},
		goldentest.Form{Name: "rule", Value: new(Rule)},
		goldentest.Form{Name: "failure", Value: new(Failure)},
	)
}
