package rebuild

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/rpcerror"
)

func TestChunkRequestsAreServedFromOneSnapshot(t *testing.T) {
	Convey("Given a snapshot of several chunks", t, func() {
		value := []byte(strings.Repeat("v", chunkBytes/2))
		tables := storage.Tables{"data/a": {"1": value, "2": value, "3": value}}
		var outgoing outgoingSnapshots
		begin := func(attempt uint64) chunkReply {
			return outgoing.firstChunk(chunkRequest{Member: "x", Attempt: attempt}, func() storage.Tables { return tables })
		}
		first := begin(1)
		So(first.Chunks, ShouldEqual, 3)
		request := func(member string, number uint64, chunk uint32) error {
			_, err := outgoing.laterChunk(chunkRequest{Member: member, Snapshot: number, Chunk: chunk})
			return err
		}
		Convey("a chunk may be requested repeatedly", func() {
			So(request("x", first.Snapshot, 1), ShouldBeNil)
			So(request("x", first.Snapshot, 1), ShouldBeNil)
			So(request("x", first.Snapshot, 2), ShouldBeNil)
			So(request("x", first.Snapshot, 2), ShouldBeNil)
		})
		Convey("a chunk of an earlier snapshot, of another receiver's snapshot, or with a number out of range is refused", func() {
			second := begin(2)
			for _, err := range []error{request("x", first.Snapshot, 1), request("y", second.Snapshot, 1), request("x", second.Snapshot, 3)} {
				So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.NotExecuted)
			}
			So(request("x", second.Snapshot, 1), ShouldBeNil)
		})
		Convey("repeated requests for the first chunk return the same snapshot within an attempt", func() {
			So(begin(1), ShouldResemble, first)
			So(begin(2).Snapshot, ShouldNotEqual, first.Snapshot)
		})
		Convey("a chunk before the last requested one is refused", func() {
			So(request("x", first.Snapshot, 2), ShouldBeNil)
			So(rpcerror.ExecutionOf(request("x", first.Snapshot, 1)), ShouldEqual, rpcerror.NotExecuted)
		})
	})
}
