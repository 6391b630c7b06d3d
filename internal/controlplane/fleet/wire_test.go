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

// TestWireConstants pins the constants that leave the process.
func TestWireConstants(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: refusedUnsure, Want: "contract_unsure"},
		goldentest.Constant{Have: refusedElsewhere, Want: "contract_elsewhere"},
		goldentest.Constant{Have: refusedQuota, Want: "over_quota"},
		goldentest.Constant{Have: messageMembers, Want: 1},
		goldentest.Constant{Have: messageCouncil, Want: 2},
		goldentest.Constant{Have: messageIntro, Want: 3},
		goldentest.Constant{Have: messageAsk, Want: 4},
		goldentest.Constant{Have: messageGrant, Want: 5},
		goldentest.Constant{Have: messageReports, Want: 6},
		goldentest.Constant{Have: messageCommand, Want: 7},
		goldentest.Constant{Have: messageResult, Want: 8},
		goldentest.Constant{Have: messageNewer, Want: 9},
		goldentest.Constant{Have: LineFleet, Want: "fleet"},
		goldentest.Constant{Have: LineStrict, Want: "strict"},
		goldentest.Constant{Have: valueTables, Want: "tables"},
		goldentest.Constant{Have: valueHard, Want: "hard"},
		goldentest.Constant{Have: valueSnapshot, Want: "snapshot"},
	)
}
