package feed

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireForms pins the encoded forms of the types that leave the process.
func TestWireForms(t *testing.T) {
	goldentest.Check(t, goldentest.MessagePack,
		goldentest.Form{Name: "leader", Value: new(Leader)},
		goldentest.Form{Name: "digest", Value: new(Digest)},
		goldentest.Form{Name: "snapshot", Value: new(Snapshot)},
		goldentest.Form{Name: "offer", Value: new(Offer)},
		goldentest.Form{Name: "parts request", Value: new(PartsRequest)},
		goldentest.Form{Name: "parts reply", Value: new(PartsReply)},
		goldentest.Form{Name: "watch", Value: new(Watch)},
		goldentest.Form{Name: "watch reply", Value: new(WatchReply)},
		goldentest.Form{Name: "exchange", Value: new(Exchange)},
		goldentest.Form{Name: "heard", Value: new(Heard)},
		goldentest.Form{Name: "front", Value: new(Front)},
	)
}
