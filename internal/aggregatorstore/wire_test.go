package aggregatorstore

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
	"puffinlink.example/puffinlink/internal/operators/override"
)

// TestWireConstants pins the constants that leave the process.
func TestWireConstants(t *testing.T) {
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
		goldentest.Constant{Have: string(keyAudited), Want: "audited"},
		goldentest.Constant{Have: string(bucketValues), Want: "values"},
		goldentest.Constant{Have: string(bucketLog), Want: "log"},
		goldentest.Constant{Have: string(keyID), Want: "id"},
		goldentest.Constant{Have: overridesVersion, Want: 1},
		goldentest.Constant{Have: logVersion, Want: 1},
	)
}

// TestWireForms pins a record of the audit trail, behind its checksum.
func TestWireForms(t *testing.T) {
	codec := goldentest.JSON
	codec.Name, codec.Text = "sealed", false
	codec.Encode = seal
	codec.Decode = unseal
	goldentest.Check(t, codec, goldentest.Form{Name: "change", Value: new(override.Change)})
}
