package override

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireForms pins the records that are kept on disk.
func TestWireForms(t *testing.T) {
	goldentest.Check(t, goldentest.JSON,
		goldentest.Form{Name: "override", Value: new(Override)},
		goldentest.Form{Name: "change", Value: new(Change)},
	)
}

// TestWireConstants pins the constants that leave the process.
func TestWireConstants(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: Weight, Want: 0},
		goldentest.Constant{Have: Out, Want: 1},
		goldentest.Constant{Have: Pin, Want: 2},
		goldentest.Constant{Have: Set, Want: 0},
		goldentest.Constant{Have: Clear, Want: 1},
		goldentest.Constant{Have: WasSet, Want: 0},
		goldentest.Constant{Have: WasCleared, Want: 1},
		goldentest.Constant{Have: HasEnded, Want: 2},
		goldentest.Constant{Have: HasRestarted, Want: 3},
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

// TestWireDigest pins the digest of a command, which is kept on disk beside the command's key. It is taken over a text with
// the names that the Go type and its fields had first, so that these can be renamed.
func TestWireDigest(t *testing.T) {
	var command Command
	if err := goldentest.JSON.Fill(&command); err != nil {
		t.Fatal(err)
	}
	if have, want := digest(&command), uint64(0xe5978217fc9b9f39); have != want {
		t.Errorf("the digest is %#x, it was %#x", have, want)
	}
}
