package fleet

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireForms pins the encoded forms of the types that leave the process.
func TestWireForms(t *testing.T) {
	goldentest.Check(t, goldentest.CBOR,
		goldentest.Form{Name: "result", Value: new(Result)},
		goldentest.Form{Name: "asking", Value: new(asking)},
		goldentest.Form{Name: "granting", Value: new(granting)},
		goldentest.Form{Name: "versions", Value: new(versions)},
		goldentest.Form{Name: "handed", Value: new(handed)},
		goldentest.Form{Name: "handed back", Value: new(handedBack)},
		goldentest.Form{Name: "query", Value: new(query)},
		goldentest.Form{Name: "newer", Value: new(newer)},
		goldentest.Form{Name: "reports", Value: new(reports)},
		goldentest.Form{Name: "tables", Value: new(tables)},
	)
	goldentest.Check(t, goldentest.JSON,
		goldentest.Form{Name: "result", Value: new(Result)},
		goldentest.Form{Name: "shown", Value: new(Shown)},
		goldentest.Form{Name: "shown member", Value: new(ShownMember)},
		goldentest.Form{Name: "shown judgement", Value: new(shownJudgement)},
		goldentest.Form{Name: "explained", Value: new(Explained)},
	)
}
