package aggregatorstore

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
	"puffinlink.example/puffinlink/internal/operators/override"
)

// TestWireConstantsAreUnchanged guards the names and versions that are stored on disk.
func TestWireConstantsAreUnchanged(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: logName, Want: "fleet.db"},
		goldentest.Constant{Have: logLockName, Want: "fleet.lock"},
		goldentest.Constant{Have: overridesFileName, Want: "overrides.db"},
		goldentest.Constant{Have: overridesLockName, Want: "overrides.lock"},
		goldentest.Constant{Have: string(bucketMeta), Want: "meta"},
		goldentest.Constant{Have: string(bucketActive), Want: "held"},
		goldentest.Constant{Have: string(bucketAudit), Want: "audit"},
		goldentest.Constant{Have: string(keyVersion), Want: "version"},
		goldentest.Constant{Have: string(keyRevision), Want: "revision"},
		goldentest.Constant{Have: string(keyAuditCount), Want: "audited"},
		goldentest.Constant{Have: string(bucketValues), Want: "values"},
		goldentest.Constant{Have: string(bucketLog), Want: "log"},
		goldentest.Constant{Have: string(keyID), Want: "id"},
		goldentest.Constant{Have: overridesVersion, Want: 1},
		goldentest.Constant{Have: logVersion, Want: 1},
	)
}

// TestEncodedFormsMatchGoldenFiles guards the format of a record of the audit trail, with its checksum.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	codec := goldentest.JSON
	codec.Name, codec.Text = "sealed", false
	codec.Encode = encodeRecord
	codec.Decode = decodeRecord
	goldentest.Check(t, codec, goldentest.Form{Name: "change", Value: new(override.Change)})
}
