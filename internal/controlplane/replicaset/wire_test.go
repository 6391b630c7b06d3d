package replicaset

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestEncodedFormsMatchGoldenFiles checks that the encoded messages and the stored view match the golden file.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.MessagePack,
		goldentest.Form{Name: "view request", Value: new(viewRequest)},
		goldentest.Form{Name: "announce request", Value: new(announceRequest)},
		goldentest.Form{Name: "view reply", Value: new(viewReply)},
		goldentest.Form{Name: "leave request", Value: new(leaveRequest)},
		goldentest.Form{Name: "view", Value: new(View)},
		goldentest.Form{Name: "leave reply", Value: new(leaveReply)},
	)
}

// TestWireConstantsAreUnchanged checks the names of the table, its keys and the paths of the internal calls.
func TestWireConstantsAreUnchanged(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: TableName, Want: "replicaset"},
		goldentest.Constant{Have: viewKey, Want: "view"},
		goldentest.Constant{Have: foundersKey, Want: "founders"},
		goldentest.Constant{Have: absencesKey, Want: "absences"},
		goldentest.Constant{Have: viewCall.Path(), Want: "/replicaset/view"},
		goldentest.Constant{Have: announceCall.Path(), Want: "/replicaset/announce"},
		goldentest.Constant{Have: leaveCall.Path(), Want: "/replicaset/leave"},
	)
}
