package fleet

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestEncodedFormsMatchGoldenFiles checks the encoded forms of the types that are sent, stored or shown to operators.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.CBOR,
		goldentest.Form{Name: "result", Value: new(Result)},
		goldentest.Form{Name: "asking", Value: new(grantRequest)},
		goldentest.Form{Name: "granting", Value: new(grantResponse)},
		goldentest.Form{Name: "versions", Value: new(tableVersions)},
		goldentest.Form{Name: "handed", Value: new(commandRequest)},
		goldentest.Form{Name: "handed back", Value: new(commandResponse)},
		goldentest.Form{Name: "query", Value: new(progressQuery)},
		goldentest.Form{Name: "newer", Value: new(staleIncarnation)},
		goldentest.Form{Name: "reports", Value: new(reportBatch)},
		goldentest.Form{Name: "tables", Value: new(tablesRecord)},
	)
	goldentest.Check(t, goldentest.JSON,
		goldentest.Form{Name: "result", Value: new(Result)},
		goldentest.Form{Name: "shown", Value: new(Status)},
		goldentest.Form{Name: "shown member", Value: new(MemberStatus)},
		goldentest.Form{Name: "shown judgement", Value: new(outlierStatus)},
		goldentest.Form{Name: "explained", Value: new(Explanation)},
	)
}

// TestWireConstantsAreUnchanged checks the constants that are sent, stored, logged or counted.
func TestWireConstantsAreUnchanged(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: reasonContractsUnconfirmed, Want: "contract_unsure"},
		goldentest.Constant{Have: reasonOtherLocation, Want: "contract_elsewhere"},
		goldentest.Constant{Have: reasonOverQuota, Want: "over_quota"},
		goldentest.Constant{Have: messageFailureDetector, Want: 1},
		goldentest.Constant{Have: messageConsensus, Want: 2},
		goldentest.Constant{Have: messageIntroduction, Want: 3},
		goldentest.Constant{Have: messageGrantRequest, Want: 4},
		goldentest.Constant{Have: messageGrantResponse, Want: 5},
		goldentest.Constant{Have: messageReports, Want: 6},
		goldentest.Constant{Have: messageCommandRequest, Want: 7},
		goldentest.Constant{Have: messageCommandResponse, Want: 8},
		goldentest.Constant{Have: messageStaleIncarnation, Want: 9},
		goldentest.Constant{Have: LineFleet, Want: "fleet"},
		goldentest.Constant{Have: LineStrict, Want: "strict"},
		goldentest.Constant{Have: valueTables, Want: "tables"},
		goldentest.Constant{Have: valueHardState, Want: "hard"},
		goldentest.Constant{Have: valueSnapshot, Want: "snapshot"},
	)
}
