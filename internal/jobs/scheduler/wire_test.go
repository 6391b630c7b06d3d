package scheduler

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestEncodedFormsMatchGoldenFiles guards against accidental changes of the encoding of types that are stored or logged.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.MessagePack,
		goldentest.Form{Name: "operator drain record", Value: new(operatorDrainRecord)},
		goldentest.Form{Name: "job record", Value: new(jobRecord)},
		goldentest.Form{Name: "task record", Value: new(taskRecord)},
		goldentest.Form{Name: "repetition record", Value: new(repetitionRecord)},
		goldentest.Form{Name: "ended record", Value: new(endedRecord)},
		goldentest.Form{Name: "handover record", Value: new(handoverRecord)},
		goldentest.Form{Name: "early cancellation record", Value: new(earlyCancellationRecord)},
	)
	goldentest.Check(t, goldentest.JSON,
		goldentest.Form{Name: "summary", Value: new(Load)},
	)
}

// TestWireConstantsAreUnchanged guards against accidental changes of the key prefixes of stored records.
func TestWireConstantsAreUnchanged(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: operatorDrainPrefix, Want: "d/"},
		goldentest.Constant{Have: jobPrefix, Want: "j/"},
		goldentest.Constant{Have: taskPrefix, Want: "t/"},
		goldentest.Constant{Have: repetitionPrefix, Want: "k/"},
		goldentest.Constant{Have: endedPrefix, Want: "e/"},
		goldentest.Constant{Have: handoverKey, Want: "c/"},
		goldentest.Constant{Have: earlyCancellation{0x5b, "00000000000000a1"}.key(), Want: "x/000000000000005b/00000000000000a1"},
	)
}
