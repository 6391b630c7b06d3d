package residency

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestEncodedFormsMatchGoldenFiles checks the encoded forms of the types that are sent or stored.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.CBOR,
		goldentest.Form{Name: "contract", Value: new(Contract)},
		goldentest.Form{Name: "table", Value: new(Table)},
	)
	goldentest.Check(t, goldentest.JSON,
		goldentest.Form{Name: "contract", Value: new(Contract)},
		goldentest.Form{Name: "table", Value: new(Table)},
		goldentest.Form{Name: "progress", Value: new(Progress)},
		goldentest.Form{Name: "mixer state", Value: new(NodeState)},
	)
}

// TestWireConstantsAreUnchanged checks the constants that are sent or stored.
func TestWireConstantsAreUnchanged(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: StateApplied, Want: "holds"},
		goldentest.Constant{Have: StateRefuses, Want: "refuses"},
		goldentest.Constant{Have: StateOutdated, Want: "old"},
	)
}
