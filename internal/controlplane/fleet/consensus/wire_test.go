package consensus

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestEncodedFormsMatchGoldenFiles checks the encoded forms of the types that are sent or stored.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.CBOR,
		goldentest.Form{Name: "intro", Value: new(Introduction)},
		goldentest.Form{Name: "command", Value: new(Command)},
		goldentest.Form{Name: "contract change", Value: new(ContractChange)},
		goldentest.Form{Name: "quota change", Value: new(QuotaChange)},
		goldentest.Form{Name: "file tables", Value: new(FileTables)},
		goldentest.Form{Name: "voter", Value: new(Voter)},
		goldentest.Form{Name: "floor", Value: new(MinimumRate)},
		goldentest.Form{Name: "state", Value: new(State)},
		goldentest.Form{Name: "done", Value: new(AppliedCommand)},
	)
}
