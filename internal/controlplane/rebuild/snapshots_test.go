package rebuild

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/rpcerror"
)

func TestChunksOfASnapshot(t *testing.T) {
	Convey("Given a copy in several parts", t, func() {
		value := []byte(strings.Repeat("v", chunkBytes/2))
		tables := storage.Tables{"data/a": {"1": value, "2": value, "3": value}}
		var c outgoingSnapshots
		begin := func(attempt uint64) dumpReply {
			return c.first(dumpRequest{Member: "x", Attempt: attempt}, func() storage.Tables { return tables })
		}
		first := begin(1)
		So(first.Chunks, ShouldEqual, 3)
		ask := func(member string, number uint64, chunk uint32) error {
			_, err := c.chunk(dumpRequest{Member: member, Snapshot: number, Chunk: chunk})
			return err
		}
		Convey("a part may be asked for again", func() {
			So(ask("x", first.Snapshot, 1), ShouldBeNil)
			So(ask("x", first.Snapshot, 1), ShouldBeNil)
			So(ask("x", first.Snapshot, 2), ShouldBeNil)
			So(ask("x", first.Snapshot, 2), ShouldBeNil)
		})
		Convey("a part of an earlier copy, of another's copy, and one that there is not are refused", func() {
			second := begin(2)
			for _, err := range []error{ask("x", first.Snapshot, 1), ask("y", second.Snapshot, 1), ask("x", second.Snapshot, 3)} {
				So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.NotExecuted)
			}
			So(ask("x", second.Snapshot, 1), ShouldBeNil)
		})
		Convey("the first part of the same attempt is of the same copy, however often it is asked for", func() {
			So(begin(1), ShouldResemble, first)
			So(begin(2).Snapshot, ShouldNotEqual, first.Snapshot)
		})
		Convey("one that was received already is given no more", func() {
			So(ask("x", first.Snapshot, 2), ShouldBeNil)
			So(rpcerror.ExecutionOf(ask("x", first.Snapshot, 1)), ShouldEqual, rpcerror.NotExecuted)
		})
	})
}
