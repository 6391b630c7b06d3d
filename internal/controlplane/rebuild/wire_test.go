package rebuild

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireForms pins the encoded forms of the types that leave the process.
func TestWireForms(t *testing.T) {
	goldentest.Check(t, goldentest.MessagePack,
		goldentest.Form{Name: "dump request", Value: new(dumpRequest)},
		goldentest.Form{Name: "dump reply", Value: new(dumpReply)},
		goldentest.Form{Name: "ready reply", Value: new(readyReply)},
		goldentest.Form{Name: "ready request", Value: new(readyRequest)},
	)
}

// TestReadyReplyOfEarlierBuilds: a member of a build that tells neither of departures nor of joining members counts as one that stays.
func TestReadyReplyOfEarlierBuilds(t *testing.T) {
	var reply readyReply
	if err := msgpack.Unmarshal([]byte("\x81\xa1r\xc3"), &reply); err != nil || reply != (readyReply{Ready: true}) {
		t.Errorf("decoded as %+v, %v", reply, err)
	}
}

// TestWireConstants pins the constants that leave the process.
func TestWireConstants(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: TableName, Want: "rebuild"},
		goldentest.Constant{Have: completeKey, Want: "complete"},
		goldentest.Constant{Have: dumpCall.Path(), Want: "/rebuild/dump"},
		goldentest.Constant{Have: readyCall.Path(), Want: "/rebuild/ready"},
	)
}
