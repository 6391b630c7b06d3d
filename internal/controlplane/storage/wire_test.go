package storage

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireForms pins the encoded forms of the types that leave the process.
func TestWireForms(t *testing.T) {
	goldentest.Check(t, goldentest.MessagePack,
		goldentest.Form{Name: "change", Value: new(Change)},
	)
}

// TestWireConstants pins the constants that leave the process.
func TestWireConstants(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: fileName, Want: "store.log"},
		goldentest.Constant{Have: fileMagic, Want: "PLSTORE1"},
		goldentest.Constant{Have: recordMagic, Want: "\xf5RC\n"},
		goldentest.Constant{Have: snapshotRecord, Want: 83},
		goldentest.Constant{Have: snapshotEnd, Want: 69},
		goldentest.Constant{Have: writeRecord, Want: 87},
	)
}
