package replication

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireForms pins the encoded forms of the types that leave the process.
func TestWireForms(t *testing.T) {
	goldentest.Check(t, goldentest.MessagePack,
		goldentest.Form{Name: "entry", Value: new(Entry)},
		goldentest.Form{Name: "position", Value: new(Position)},
		goldentest.Form{Name: "prepare request", Value: new(prepareRequest)},
		goldentest.Form{Name: "prepare reply", Value: new(prepareReply)},
		goldentest.Form{Name: "state request", Value: new(stateRequest)},
		goldentest.Form{Name: "state reply", Value: new(stateReply)},
		goldentest.Form{Name: "append request", Value: new(appendRequest)},
		goldentest.Form{Name: "append reply", Value: new(appendReply)},
		goldentest.Form{Name: "beat", Value: new(beat)},
		goldentest.Form{Name: "ping request", Value: new(pingRequest)},
		goldentest.Form{Name: "ping reply", Value: new(pingReply)},
		goldentest.Form{Name: "resign request", Value: new(resignRequest)},
	)
}
