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
		goldentest.Form{Name: "resign reply", Value: new(resignReply)},
	)
}

// TestWireConstants pins the constants that leave the process.
func TestWireConstants(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: unavailable, Want: 0},
		goldentest.Constant{Have: accepted, Want: 1},
		goldentest.Constant{Have: behind, Want: 2},
		goldentest.Constant{Have: superseded, Want: 3},
		goldentest.Constant{Have: gathering, Want: 4},
		goldentest.Constant{Have: StateTablePrefix, Want: "group/"},
		goldentest.Constant{Have: MetaTablePrefix, Want: "group-meta/"},
		goldentest.Constant{Have: promisedKey, Want: "promised"},
		goldentest.Constant{Have: candidateKey, Want: "candidate"},
		goldentest.Constant{Have: positionKey, Want: "position"},
		goldentest.Constant{Have: prepareCall.Path(), Want: "/replication/prepare"},
		goldentest.Constant{Have: appendCall.Path(), Want: "/replication/append"},
		goldentest.Constant{Have: pingCall.Path(), Want: "/replication/ping"},
		goldentest.Constant{Have: resignCall.Path(), Want: "/replication/resign"},
		goldentest.Constant{Have: stateCall.Path(), Want: "/replication/state"},
	)
}
