package outlier

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestEncodedFormsMatchGoldenFiles checks the encoded forms of the types that are sent or stored.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.CBOR,
		goldentest.Form{Name: "seen", Value: new(Observation)},
		goldentest.Form{Name: "report", Value: new(Report)},
	)
	goldentest.Check(t, goldentest.JSON,
		goldentest.Form{Name: "judgement", Value: new(Verdict)},
		goldentest.Form{Name: "heard", Value: new(Summary)},
	)
}
