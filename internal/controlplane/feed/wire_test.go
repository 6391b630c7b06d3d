package feed

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestEncodedFormsMatchGoldenFiles guards the encoded forms of the types that are exchanged with other builds.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.MessagePack,
		goldentest.Form{Name: "leader", Value: new(Leader)},
		goldentest.Form{Name: "digest", Value: new(Digest)},
		goldentest.Form{Name: "snapshot", Value: new(Snapshot)},
		goldentest.Form{Name: "offer", Value: new(Offer)},
		goldentest.Form{Name: "parts request", Value: new(ChunksRequest)},
		goldentest.Form{Name: "parts reply", Value: new(ChunksReply)},
		goldentest.Form{Name: "watch", Value: new(WatchRequest)},
		goldentest.Form{Name: "watch reply", Value: new(WatchReply)},
		goldentest.Form{Name: "exchange", Value: new(Exchange)},
		goldentest.Form{Name: "heard", Value: new(AgentContact)},
		goldentest.Form{Name: "front", Value: new(AgentContacts)},
	)
}

// TestWireConstantsAreUnchanged guards the constants that are exchanged with other builds.
func TestWireConstantsAreUnchanged(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: WatchCall.Path(), Want: "/feed/watch"},
		goldentest.Constant{Have: ExchangeCall.Path(), Want: "/feed/exchange"},
		goldentest.Constant{Have: ChunksCall.Path(), Want: "/feed/parts"},
		goldentest.Constant{Have: LocalCall.Path(), Want: "/feed/local"},
		goldentest.Constant{Have: AgentContactsCall.Path(), Want: "/feed/front"},
	)
}
