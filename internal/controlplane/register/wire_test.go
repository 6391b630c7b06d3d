package register

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestEncodedFormsMatchGoldenFiles guards the encoding of types that are exchanged with other builds or stored.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.MessagePack,
		goldentest.Form{Name: "accepted state", Value: new(acceptedState)},
		goldentest.Form{Name: "ballot", Value: new(ProposalNumber)},
		goldentest.Form{Name: "prepare request", Value: new(prepareRequest)},
		goldentest.Form{Name: "accept request", Value: new(acceptRequest)},
		goldentest.Form{Name: "content", Value: new(chunkedValue)},
		goldentest.Form{Name: "push request", Value: new(pushRequest)},
		goldentest.Form{Name: "fetch request", Value: new(fetchRequest)},
		goldentest.Form{Name: "fetch reply", Value: new(fetchReply)},
		goldentest.Form{Name: "read request", Value: new(readRequest)},
		goldentest.Form{Name: "reply", Value: new(reply)},
		goldentest.Form{Name: "state", Value: new(state)},
		goldentest.Form{Name: "push reply", Value: new(pushReply)},
	)
}

// TestWireConstantsAreUnchanged guards the constants that are exchanged with other builds or stored.
func TestWireConstantsAreUnchanged(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: TablePrefix, Want: "register/"},
		goldentest.Constant{Have: promisedKey, Want: "promised"},
		goldentest.Constant{Have: acceptedKey, Want: "accepted"},
		goldentest.Constant{Have: bootstrapName, Want: "replicaset/founding"},
		goldentest.Constant{Have: granted, Want: 1},
		goldentest.Constant{Have: conflict, Want: 2},
		goldentest.Constant{Have: viewMismatch, Want: 3},
		goldentest.Constant{Have: chunksMissing, Want: 4},
		goldentest.Constant{Have: chunksSuffix, Want: "/parts"},
		goldentest.Constant{Have: viewChangeName, Want: "replicaset/next"},
		goldentest.Constant{Have: viewChangeTable, Want: "register/replicaset/"},
		goldentest.Constant{Have: prepareCall("name").Path(), Want: "/register/name/prepare"},
		goldentest.Constant{Have: acceptCall("name").Path(), Want: "/register/name/accept"},
		goldentest.Constant{Have: acceptChunksCall("name").Path(), Want: "/register/name/accept-parts"},
		goldentest.Constant{Have: readCall("name").Path(), Want: "/register/name/read"},
		goldentest.Constant{Have: pushCall("name").Path(), Want: "/register/name/push"},
		goldentest.Constant{Have: fetchCall("name").Path(), Want: "/register/name/fetch"},
	)
}
