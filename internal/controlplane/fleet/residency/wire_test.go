package residency

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireForms pins the encoded forms of the types that leave the process.
func TestWireForms(t *testing.T) {
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

// TestWireConstants pins the constants that leave the process.
func TestWireConstants(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: StateApplied, Want: "holds"},
		goldentest.Constant{Have: StateRefuses, Want: "refuses"},
		goldentest.Constant{Have: StateOld, Want: "old"},
	)
}
