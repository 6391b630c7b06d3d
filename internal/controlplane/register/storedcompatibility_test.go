package register

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

const (
	storedFolder   = "testdata/stored"
	storedDump     = "testdata/stored.json" // the tables' bytes in hex
	updateVariable = "GOLDEN_UPDATE"        // set to 1, the stored data is made anew
	storedSelf     = "10.0.0.1:7000"
	storedOther    = "10.0.0.3:7000"
)

// storedText is a value that is stored in chunks, one of which it has twice.
func storedText(version int) string {
	var text strings.Builder
	fmt.Fprintf(&text, `{"version":%d,"routes":[`, version)
	for i := range 90 {
		fmt.Fprintf(&text, `{"name":"r-%d","pathPrefix":"/%d/"},`, i*i*i, i)
	}
	return text.String() + strings.Repeat("x", 24<<10)
}

var (
	storedFirst = replicaset.View{Version: 1, Members: []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}}
	storedNext  = replicaset.View{
		Version: 4, Members: []string{"10.0.0.1:7000", "10.0.0.3:7000", "10.0.0.4:7000"},
		Zones: map[string]string{"10.0.0.4:7000": "north"}, Replaced: "10.0.0.2:7000", JoinedIncarnation: 1 << 63,
	}
	// The sums of the chunks of the newest large value, in order; two are the same.
	storedSums = []string{
		"898271eda4ae47c18b9b45a342ca8b21", "0fb94a82852c73ac623e8479cf593d08", "18f8d2eb4a387bbc1e37ec099a732680",
		"18f8d2eb4a387bbc1e37ec099a732680", "d2b4efc57ffa2967c28f6892b6b390f4",
	}
)

// storedAcceptors are those of the registers of a coordinator, all of which may vote.
type storedAcceptors struct {
	configuration, small *Acceptor
	founding             *Founding
	succession           *Succession
}

func acceptorsOn(store storage.Store) storedAcceptors {
	ready := func() bool { return true }
	view := func() replicaset.View { return replicaset.View{Version: 3, Members: storedFirst.Members} }
	return storedAcceptors{
		configuration: NewAcceptor(AcceptorConfig{Name: "configuration", Store: store, Ready: ready, View: view}),
		small:         NewAcceptor(AcceptorConfig{Name: "small", Store: store, Ready: ready, View: view}),
		founding: NewFounding(FoundingConfig{Self: storedSelf, Store: store, Ready: ready,
			Founders: func() []string { return storedFirst.Members }}),
		succession: NewSuccession(SuccessionConfig{Self: storedSelf, Store: store, Ready: ready, View: view}),
	}
}

// writeStoredRegisters makes the votes of one member.
func writeStoredRegisters(t *testing.T, store storage.Store) {
	acceptors := acceptorsOn(store)
	accept := func(acceptor *Acceptor, view uint64, proposalNumber ProposalNumber, value state) {
		answer, err := acceptor.accept(context.Background(), acceptRequest{ViewVersion: view, ProposalNumber: proposalNumber, State: value})
		if err != nil || answer.Outcome != granted {
			t.Fatalf("%+v, %v", answer, err)
		}
	}
	promise := func(acceptor *Acceptor, view uint64, proposalNumber ProposalNumber) {
		answer, err := acceptor.prepare(context.Background(), prepareRequest{ViewVersion: view, ProposalNumber: proposalNumber})
		if err != nil || answer.Outcome != granted {
			t.Fatalf("%+v, %v", answer, err)
		}
	}
	first := state{Value: []byte(storedText(1)), Sequence: 1, History: []ProposalNumber{{1, storedSelf}}}
	accept(acceptors.configuration, 3, ProposalNumber{1, storedSelf}, first)
	accept(acceptors.configuration, 3, ProposalNumber{2, storedOther}, first.next([]byte(storedText(2)), ProposalNumber{2, storedOther}))
	promise(acceptors.configuration, 3, ProposalNumber{300, storedSelf})
	accept(acceptors.small, 3, ProposalNumber{70000, storedOther}, state{Value: []byte("small"), Sequence: 9, History: []ProposalNumber{{70000, storedOther}, {7, storedSelf}}})
	accept(acceptors.founding.acceptor, 1, ProposalNumber{1, storedOther}, state{Value: encodeView(t, storedFirst), Sequence: 1, History: []ProposalNumber{{1, storedOther}}})
	accept(acceptors.succession.acceptor, 3, ProposalNumber{5, storedSelf}, state{Value: encodeView(t, storedNext), Sequence: 1, History: []ProposalNumber{{5, storedSelf}}})
}

func encodeView(t *testing.T, view replicaset.View) []byte {
	encoded, err := msgpack.Marshal(view)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// dumpTables writes tables down, each value in hex.
func dumpTables(tables storage.Tables) string {
	values := make(map[string]map[string]string)
	for name, table := range tables {
		values[name] = make(map[string]string)
		for key, value := range table {
			values[name][key] = hex.EncodeToString(value)
		}
	}
	text, err := json.MarshalIndent(values, "", " ")
	if err != nil {
		panic(err) // maps of texts can be written
	}
	return string(text) + "\n"
}

func openStored(t *testing.T, folder string) *storage.FileStore {
	store, _, err := storage.Open(storage.OSFileSystem{}, folder, storage.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { store.Close() })
	return store
}

func makeStoredRegisters(t *testing.T) {
	os.RemoveAll(storedFolder)
	store := openStored(t, storedFolder)
	writeStoredRegisters(t, store)
	if err := os.WriteFile(storedDump, []byte(dumpTables(store.Snapshot())), 0o644); err != nil {
		t.Fatal(err)
	}
}

func TestReadsStoredDataOfRegisters(t *testing.T) {
	if os.Getenv(updateVariable) == "1" {
		makeStoredRegisters(t)
	}
	golden, err := os.ReadFile(storedDump)
	if err != nil {
		t.Fatal(err)
	}
	Convey("Given registers that an earlier build stored", t, func() {
		folder := t.TempDir()
		So(os.CopyFS(folder, os.DirFS(storedFolder)), ShouldBeNil)
		store := openStored(t, folder)
		So(dumpTables(store.Snapshot()), ShouldEqual, string(golden))
		acceptors := acceptorsOn(store)
		loads := func(acceptor *Acceptor, view uint64, expected acceptorState) {
			loaded, err := acceptor.load(view)
			So(err, ShouldBeNil)
			So(loaded, ShouldResemble, expected)
		}

		Convey("the large value is assembled from its chunks", func() {
			loaded, err := acceptors.configuration.load(3)
			So(err, ShouldBeNil)
			So(loaded.promised, ShouldResemble, ProposalNumber{Counter: 300, Member: storedSelf})
			So(loaded.accepted.ProposalNumber, ShouldResemble, ProposalNumber{Counter: 2, Member: storedOther})
			So(loaded.accepted.State, ShouldResemble, state{Value: []byte(storedText(2)), Sequence: 2, History: []ProposalNumber{{2, storedOther}, {1, storedSelf}}})
			So(loaded.accepted.Manifest.Bytes, ShouldEqual, len(storedText(2)))
			So(loaded.accepted.Manifest.Sum, ShouldEqual, chunks.SumOf([]byte(storedText(2))))
			var sums []string
			for _, sum := range loaded.accepted.Manifest.Sums() {
				sums = append(sums, chunkKey(sum))
			}
			So(sums, ShouldResemble, storedSums)
		})
		Convey("a small value is inline", func() {
			proposalNumber := ProposalNumber{Counter: 70000, Member: storedOther}
			value := state{Value: []byte("small"), Sequence: 9, History: []ProposalNumber{proposalNumber, {Counter: 7, Member: storedSelf}}}
			loads(acceptors.small, 3, acceptorState{promised: proposalNumber, accepted: acceptedState{ProposalNumber: proposalNumber, State: value}})
		})
		Convey("the first view and the next one are read", func() {
			proposalNumber := ProposalNumber{Counter: 1, Member: storedOther}
			value := state{Value: encodeView(t, storedFirst), Sequence: 1, History: []ProposalNumber{proposalNumber}}
			loads(acceptors.founding.acceptor, 1, acceptorState{promised: proposalNumber, accepted: acceptedState{ProposalNumber: proposalNumber, State: value}})
			next, found, err := acceptors.succession.Pending(replicaset.View{Version: 3})
			So(err, ShouldBeNil)
			So(found, ShouldBeTrue)
			So(next, ShouldResemble, storedNext)
			proposalNumber = ProposalNumber{Counter: 5, Member: storedSelf}
			value = state{Value: encodeView(t, storedNext), Sequence: 1, History: []ProposalNumber{proposalNumber}}
			loads(acceptors.succession.acceptor, 3, acceptorState{promised: proposalNumber, accepted: acceptedState{ProposalNumber: proposalNumber, State: value}})
		})
		Convey("this build writes the same, so that the earlier one can read it", func() {
			memory := storage.NewMemory()
			writeStoredRegisters(t, memory)
			So(dumpTables(memory.Snapshot()), ShouldEqual, string(golden))
		})
	})
}
