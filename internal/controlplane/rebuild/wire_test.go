package rebuild

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestEncodedFormsMatchGoldenFiles checks that the encoding of the types sent to other processes is unchanged.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.MessagePack,
		goldentest.Form{Name: "dump request", Value: new(chunkRequest)},
		goldentest.Form{Name: "dump reply", Value: new(chunkReply)},
		goldentest.Form{Name: "ready reply", Value: new(readyReply)},
		goldentest.Form{Name: "ready request", Value: new(readyRequest)},
	)
}

// Earlier builds do not send the fields Departing and Joining. Such a member must count as one that stays.
func TestReadyReplyOfEarlierBuildCountsAsStaying(t *testing.T) {
	var reply readyReply
	if err := msgpack.Unmarshal([]byte("\x81\xa1r\xc3"), &reply); err != nil || reply != (readyReply{Ready: true}) {
		t.Errorf("decoded as %+v, %v", reply, err)
	}
}

// TestWireConstantsAreUnchanged checks the constants that are sent to other processes or stored.
func TestWireConstantsAreUnchanged(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: TableName, Want: "rebuild"},
		goldentest.Constant{Have: completeKey, Want: "complete"},
		goldentest.Constant{Have: chunkCall.Path(), Want: "/rebuild/dump"},
		goldentest.Constant{Have: readyCall.Path(), Want: "/rebuild/ready"},
	)
}
