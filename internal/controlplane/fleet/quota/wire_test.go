package quota

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestEncodedFormsMatchGoldenFiles checks the encoded forms of the types that are sent or stored.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.CBOR,
		goldentest.Form{Name: "quota", Value: new(Quota)},
		goldentest.Form{Name: "ask", Value: new(Request)},
		goldentest.Form{Name: "spent", Value: new(GrantUsage)},
		goldentest.Form{Name: "grant", Value: new(Grant)},
	)
	goldentest.Check(t, goldentest.JSON,
		goldentest.Form{Name: "quota", Value: new(Quota)},
	)
}
