package override

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestEncodedFormsMatchGoldenFiles guards the records that are stored on disk.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.JSON,
		goldentest.Form{Name: "override", Value: new(Override)},
		goldentest.Form{Name: "change", Value: new(Change)},
	)
}

// TestWireConstantsAreUnchanged guards the constants that are stored or sent.
func TestWireConstantsAreUnchanged(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: Weight, Want: 0},
		goldentest.Constant{Have: OutOfService, Want: 1},
		goldentest.Constant{Have: Pin, Want: 2},
		goldentest.Constant{Have: Set, Want: 0},
		goldentest.Constant{Have: Clear, Want: 1},
		goldentest.Constant{Have: SetByOperator, Want: 0},
		goldentest.Constant{Have: ClearedByOperator, Want: 1},
		goldentest.Constant{Have: Expired, Want: 2},
		goldentest.Constant{Have: EndedByRestart, Want: 3},
		goldentest.Constant{Have: Invalid, Want: "invalid"},
		goldentest.Constant{Have: Conflict, Want: "conflict"},
		goldentest.Constant{Have: KeyReused, Want: "key_reused"},
		goldentest.Constant{Have: Unknown, Want: "unknown"},
		goldentest.Constant{Have: TooMany, Want: "too_many"},
		goldentest.Constant{Have: LastReplica, Want: "last_holder"},
		goldentest.Constant{Have: ShardCapacity, Want: "shard_capacity"},
		goldentest.Constant{Have: LocationCapacity, Want: "place_capacity"},
		goldentest.Constant{Have: NotAReplica, Want: "not_a_holder"},
		goldentest.Constant{Have: Absent, Want: "absent"},
	)
}

// TestStoredCommandDigestIsUnchanged guards the digest of a command, which is stored on disk with the command's key. The
// digest is taken over a text with the original names of the Go type and its fields, so that these can be renamed.
func TestStoredCommandDigestIsUnchanged(t *testing.T) {
	var command Command
	if err := goldentest.JSON.Fill(&command); err != nil {
		t.Fatal(err)
	}
	if have, want := commandDigest(&command), uint64(0xe5978217fc9b9f39); have != want {
		t.Errorf("the digest is %#x, expected %#x", have, want)
	}
}
