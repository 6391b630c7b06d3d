package register

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// byteCountingStore counts the bytes that are written.
type byteCountingStore struct {
	*storage.Memory
	written int
}

// Write implements storage.Store.
func (w *byteCountingStore) Write(changes ...storage.Change) error {
	for _, change := range changes {
		w.written += len(change.Key) + len(change.Value)
	}
	return w.Memory.Write(changes...)
}

func (w *byteCountingStore) take() int {
	written := w.written
	w.written = 0
	return written
}

func TestLargeValueIsStoredInChunks(t *testing.T) {
	const name = TablePrefix + testRegister
	text := randomText(largeText, 1)
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
		loads := func(acceptor *Acceptor, value string) {
			loaded, err := acceptor.load(0)
			So(err, ShouldBeNil)
			So(string(loaded.accepted.State.Value) == value, ShouldBeTrue)
		}
		accept(acceptor, 1, text)
		So(store.take(), ShouldBeGreaterThan, largeText)
		loads(acceptor, text)

		Convey("a small change writes little", func() {
			accept(acceptor, 2, edited(text, "more"))
			So(store.take(), ShouldBeLessThan, largeText/10)
			loads(acceptor, edited(text, "more"))
		})
		Convey("chunks of earlier values are removed", func() {
			before := len(store.Table(name + chunksSuffix))
			for counter := uint64(2); counter < 12; counter++ {
				accept(acceptor, counter, edited(text, randomText(50, counter)))
			}
			So(len(store.Table(name+chunksSuffix)), ShouldBeBetween, before-4, before+4)
			accept(acceptor, 12, "small")
			So(store.Table(name+chunksSuffix), ShouldBeEmpty)
			loads(acceptor, "small")
		})
		Convey("it is loaded after a restart", func() { loads(acceptorOn(store), text) })
		Convey("a member that lost its disk gets it from the merged tables of others, in the newest state that they have accepted", func() {
			other := storage.NewMemory()
			accept(acceptorOn(other), 1, text)
			accept(acceptorOn(other), 2, edited(text, "newer"))
			merged, err := Merge([]storage.Tables{store.Snapshot(), other.Snapshot()})
			So(err, ShouldBeNil)
			rebuilt := storage.NewMemory()
			writeTables(rebuilt, merged)
			acceptor := acceptorOn(rebuilt)
			loads(acceptor, edited(text, "newer"))
			accept(acceptor, 3, text)
			loads(acceptorOn(rebuilt), text)
			So(len(rebuilt.Table(name+chunksSuffix)), ShouldEqual, len(store.Table(name+chunksSuffix)))
		})
		Convey("a lost chunk is an error, and not taken for an empty value", func() {
			for key := range store.Table(name + chunksSuffix) {
				So(store.Write(storage.Change{Table: name + chunksSuffix, Key: key}), ShouldBeNil)
				break
			}
			_, err := acceptorOn(store).load(0)
			So(err, ShouldNotBeNil)
		})
		Convey("what older builds have stored inline is read", func() {
			older := storage.NewMemory()
			change, err := acceptor.encode(0, acceptedKey, acceptedState{ProposalNumber: ProposalNumber{Counter: 1}, State: state{Value: []byte(text)}})
			So(err, ShouldBeNil)
			So(older.Write(change), ShouldBeNil)
			loads(acceptorOn(older), text)
		})
	})
}
