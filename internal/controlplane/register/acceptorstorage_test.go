package register

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// byteCountingStore counts the bytes of the keys and values that are written.
type byteCountingStore struct {
	*storage.Memory
	writtenBytes int
}

// Write implements storage.Store.
func (w *byteCountingStore) Write(changes ...storage.Change) error {
	for _, change := range changes {
		w.writtenBytes += len(change.Key) + len(change.Value)
	}
	return w.Memory.Write(changes...)
}

// takeWrittenBytes returns the number of bytes written since its last call.
func (w *byteCountingStore) takeWrittenBytes() int {
	written := w.writtenBytes
	w.writtenBytes = 0
	return written
}

func TestLargeValueIsStoredInChunks(t *testing.T) {
	const name = TablePrefix + testRegister
	text := randomText(largeTextBytes, 1)
	Convey("Given an acceptor that has accepted a large value", t, func() {
		store := &byteCountingStore{Memory: storage.NewMemory()}
		acceptorOn := func(store storage.Store) *Acceptor { return readyAcceptor(store, noView) }
		acceptor := acceptorOn(store)
		accept := func(acceptor *Acceptor, counter uint64, value string) {
			proposalNumber := ProposalNumber{Counter: counter}
			answer, err := acceptor.accept(context.Background(), acceptRequest{ProposalNumber: proposalNumber, State: state{Value: []byte(value), Sequence: counter}})
			So(err, ShouldBeNil)
			So(answer.Outcome, ShouldEqual, granted)
		}
		checkLoadedValue := func(acceptor *Acceptor, value string) {
			loaded, err := acceptor.load(0)
			So(err, ShouldBeNil)
			So(string(loaded.accepted.State.Value) == value, ShouldBeTrue)
		}
		accept(acceptor, 1, text)
		So(store.takeWrittenBytes(), ShouldBeGreaterThan, largeTextBytes)
		checkLoadedValue(acceptor, text)

		Convey("a small change writes less than a tenth of the value", func() {
			accept(acceptor, 2, withInsertion(text, "more"))
			So(store.takeWrittenBytes(), ShouldBeLessThan, largeTextBytes/10)
			checkLoadedValue(acceptor, withInsertion(text, "more"))
		})
		Convey("chunks of earlier values are removed", func() {
			before := len(store.Table(name + chunksSuffix))
			for counter := uint64(2); counter < 12; counter++ {
				accept(acceptor, counter, withInsertion(text, randomText(50, counter)))
			}
			So(len(store.Table(name+chunksSuffix)), ShouldBeBetween, before-4, before+4)
			accept(acceptor, 12, "small")
			So(store.Table(name+chunksSuffix), ShouldBeEmpty)
			checkLoadedValue(acceptor, "small")
		})
		Convey("the value is loaded after a restart", func() { checkLoadedValue(acceptorOn(store), text) })
		Convey("the merged tables of other members contain the newest state that they have accepted", func() {
			other := storage.NewMemory()
			accept(acceptorOn(other), 1, text)
			accept(acceptorOn(other), 2, withInsertion(text, "newer"))
			merged, err := Merge([]storage.Tables{store.Snapshot(), other.Snapshot()})
			So(err, ShouldBeNil)
			rebuilt := storage.NewMemory()
			writeTables(rebuilt, merged)
			acceptor := acceptorOn(rebuilt)
			checkLoadedValue(acceptor, withInsertion(text, "newer"))
			accept(acceptor, 3, text)
			checkLoadedValue(acceptorOn(rebuilt), text)
			So(len(rebuilt.Table(name+chunksSuffix)), ShouldEqual, len(store.Table(name+chunksSuffix)))
		})
		Convey("loading fails if a chunk is missing", func() {
			for key := range store.Table(name + chunksSuffix) {
				So(store.Write(storage.Change{Table: name + chunksSuffix, Key: key}), ShouldBeNil)
				break
			}
			_, err := acceptorOn(store).load(0)
			So(err, ShouldNotBeNil)
		})
		Convey("a large value that an older build stored inline is loaded", func() {
			older := storage.NewMemory()
			change, err := acceptor.encodeChange(0, acceptedKey, acceptedState{ProposalNumber: ProposalNumber{Counter: 1}, State: state{Value: []byte(text)}})
			So(err, ShouldBeNil)
			So(older.Write(change), ShouldBeNil)
			checkLoadedValue(acceptorOn(older), text)
		})
	})
}
