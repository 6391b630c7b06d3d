package replication

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireForms checks the encoding of all message types against golden files.
func TestWireForms(t *testing.T) {
	goldentest.Check(t, goldentest.MessagePack,
		goldentest.Form{Name: "entry", Value: new(Entry)},
		goldentest.Form{Name: "position", Value: new(Position)},
		goldentest.Form{Name: "prepare request", Value: new(voteRequest)},
		goldentest.Form{Name: "prepare reply", Value: new(voteReply)},
		goldentest.Form{Name: "state request", Value: new(snapshotRequest)},
		goldentest.Form{Name: "state reply", Value: new(snapshotReply)},
		goldentest.Form{Name: "append request", Value: new(appendRequest)},
		goldentest.Form{Name: "append reply", Value: new(appendReply)},
		goldentest.Form{Name: "beat", Value: new(heartbeat)},
		goldentest.Form{Name: "ping request", Value: new(pingRequest)},
		goldentest.Form{Name: "ping reply", Value: new(pingReply)},
		goldentest.Form{Name: "resign request", Value: new(resignRequest)},
		goldentest.Form{Name: "resign reply", Value: new(resignReply)},
	)
}

// TestWireConstants checks the values of all constants that are sent or stored.
func TestWireConstants(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: unavailable, Want: 0},
		goldentest.Constant{Have: accepted, Want: 1},
		goldentest.Constant{Have: positionMismatch, Want: 2},
		goldentest.Constant{Have: staleTerm, Want: 3},
		goldentest.Constant{Have: incomplete, Want: 4},
		goldentest.Constant{Have: StateTablePrefix, Want: "group/"},
		goldentest.Constant{Have: MetaTablePrefix, Want: "group-meta/"},
		goldentest.Constant{Have: termKey, Want: "promised"},
		goldentest.Constant{Have: votedForKey, Want: "candidate"},
		goldentest.Constant{Have: positionKey, Want: "position"},
		goldentest.Constant{Have: voteCall.Path(), Want: "/replication/prepare"},
		goldentest.Constant{Have: appendCall.Path(), Want: "/replication/append"},
		goldentest.Constant{Have: pingCall.Path(), Want: "/replication/ping"},
		goldentest.Constant{Have: resignCall.Path(), Want: "/replication/resign"},
		goldentest.Constant{Have: snapshotCall.Path(), Want: "/replication/state"},
	)
}
