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
	storedDirectory    = "testdata/stored"
	storedDumpFile     = "testdata/stored.json" // contents of the tables in hexadecimal
	updateVariable     = "GOLDEN_UPDATE"        // if set to 1, the golden files are written anew
	storedSelfAddress  = "10.0.0.1:7000"
	storedOtherAddress = "10.0.0.3:7000"
)

// storedText returns a value that is stored in chunks. One chunk occurs twice.
func storedText(version int) string {
	var text strings.Builder
	fmt.Fprintf(&text, `{"version":%d,"routes":[`, version)
	for i := range 90 {
		fmt.Fprintf(&text, `{"name":"r-%d","pathPrefix":"/%d/"},`, i*i*i, i)
	}
	return text.String() + strings.Repeat("x", 24<<10)
}

var (
	storedFirstView = replicaset.View{Version: 1, Members: []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}}
	storedNextView  = replicaset.View{
		Version: 4, Members: []string{"10.0.0.1:7000", "10.0.0.3:7000", "10.0.0.4:7000"},
		Zones: map[string]string{"10.0.0.4:7000": "north"}, Replaced: "10.0.0.2:7000", JoinedIncarnation: 1 << 63,
	}
	// storedChunkSums are the checksums of the chunks of the newest large value, in order. Two chunks are equal.
	storedChunkSums = []string{
		"898271eda4ae47c18b9b45a342ca8b21", "0fb94a82852c73ac623e8479cf593d08", "18f8d2eb4a387bbc1e37ec099a732680",
		"18f8d2eb4a387bbc1e37ec099a732680", "d2b4efc57ffa2967c28f6892b6b390f4",
	}
)

// storedAcceptors are the acceptors of a coordinator's registers. All of them may vote.
type storedAcceptors struct {
	configuration, small *Acceptor
	bootstrap            *Bootstrap
	viewChange           *ViewChange
}

func newStoredAcceptors(store storage.Store) storedAcceptors {
	ready := func() bool { return true }
	view := func() replicaset.View { return replicaset.View{Version: 3, Members: storedFirstView.Members} }
	return storedAcceptors{
		configuration: NewAcceptor(AcceptorConfig{Name: "configuration", Store: store, Ready: ready, View: view}),
		small:         NewAcceptor(AcceptorConfig{Name: "small", Store: store, Ready: ready, View: view}),
		bootstrap: NewBootstrap(BootstrapConfig{Self: storedSelfAddress, Store: store, Ready: ready,
			Founders: func() []string { return storedFirstView.Members }}),
		viewChange: NewViewChange(ViewChangeConfig{Self: storedSelfAddress, Store: store, Ready: ready, View: view}),
	}
}

// writeStoredRegisters makes one member promise and accept the proposals that the golden files contain.
func writeStoredRegisters(t *testing.T, store storage.Store) {
	acceptors := newStoredAcceptors(store)
	accept := func(acceptor *Acceptor, view uint64, proposalNumber ProposalNumber, accepted state) {
		answer, err := acceptor.accept(context.Background(), acceptRequest{ViewVersion: view, ProposalNumber: proposalNumber, State: accepted})
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
	first := state{Value: []byte(storedText(1)), Sequence: 1, History: []ProposalNumber{{1, storedSelfAddress}}}
	accept(acceptors.configuration, 3, ProposalNumber{1, storedSelfAddress}, first)
	accept(acceptors.configuration, 3, ProposalNumber{2, storedOtherAddress}, first.next([]byte(storedText(2)), ProposalNumber{2, storedOtherAddress}))
	promise(acceptors.configuration, 3, ProposalNumber{300, storedSelfAddress})
	accept(acceptors.small, 3, ProposalNumber{70000, storedOtherAddress}, state{Value: []byte("small"), Sequence: 9, History: []ProposalNumber{{70000, storedOtherAddress}, {7, storedSelfAddress}}})
	accept(acceptors.bootstrap.acceptor, 1, ProposalNumber{1, storedOtherAddress}, state{Value: encodeView(t, storedFirstView), Sequence: 1, History: []ProposalNumber{{1, storedOtherAddress}}})
	accept(acceptors.viewChange.acceptor, 3, ProposalNumber{5, storedSelfAddress}, state{Value: encodeView(t, storedNextView), Sequence: 1, History: []ProposalNumber{{5, storedSelfAddress}}})
}

func encodeView(t *testing.T, view replicaset.View) []byte {
	encoded, err := msgpack.Marshal(view)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// dumpTables encodes tables as JSON, with each value in hexadecimal.
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
		panic(err) // maps of strings can always be encoded
	}
	return string(text) + "\n"
}

func openFileStore(t *testing.T, directory string) *storage.FileStore {
	store, _, err := storage.Open(storage.OSFileSystem{}, directory, storage.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { store.Close() })
	return store
}

func updateStoredRegisters(t *testing.T) {
	os.RemoveAll(storedDirectory)
	store := openFileStore(t, storedDirectory)
	writeStoredRegisters(t, store)
	if err := os.WriteFile(storedDumpFile, []byte(dumpTables(store.Snapshot())), 0o644); err != nil {
		t.Fatal(err)
	}
}

func TestReadsStoredDataOfRegisters(t *testing.T) {
	if os.Getenv(updateVariable) == "1" {
		updateStoredRegisters(t)
	}
	golden, err := os.ReadFile(storedDumpFile)
	if err != nil {
		t.Fatal(err)
	}
	Convey("Given registers that an earlier build stored", t, func() {
		directory := t.TempDir()
		So(os.CopyFS(directory, os.DirFS(storedDirectory)), ShouldBeNil)
		store := openFileStore(t, directory)
		So(dumpTables(store.Snapshot()), ShouldEqual, string(golden))
		acceptors := newStoredAcceptors(store)
		expectLoaded := func(acceptor *Acceptor, view uint64, expected acceptorState) {
			loaded, err := acceptor.load(view)
			So(err, ShouldBeNil)
			So(loaded, ShouldResemble, expected)
		}

		Convey("the large value is assembled from its chunks", func() {
			loaded, err := acceptors.configuration.load(3)
			So(err, ShouldBeNil)
			So(loaded.promised, ShouldResemble, ProposalNumber{Counter: 300, Member: storedSelfAddress})
			So(loaded.accepted.ProposalNumber, ShouldResemble, ProposalNumber{Counter: 2, Member: storedOtherAddress})
			So(loaded.accepted.State, ShouldResemble, state{Value: []byte(storedText(2)), Sequence: 2, History: []ProposalNumber{{2, storedOtherAddress}, {1, storedSelfAddress}}})
			So(loaded.accepted.Manifest.Bytes, ShouldEqual, len(storedText(2)))
			So(loaded.accepted.Manifest.Sum, ShouldEqual, chunks.SumOf([]byte(storedText(2))))
			var sums []string
			for _, sum := range loaded.accepted.Manifest.Sums() {
				sums = append(sums, chunkKey(sum))
			}
			So(sums, ShouldResemble, storedChunkSums)
		})
		Convey("a small value is inline", func() {
			proposalNumber := ProposalNumber{Counter: 70000, Member: storedOtherAddress}
			value := state{Value: []byte("small"), Sequence: 9, History: []ProposalNumber{proposalNumber, {Counter: 7, Member: storedSelfAddress}}}
			expectLoaded(acceptors.small, 3, acceptorState{promised: proposalNumber, accepted: acceptedState{ProposalNumber: proposalNumber, State: value}})
		})
		Convey("the first view and the next view are loaded", func() {
			proposalNumber := ProposalNumber{Counter: 1, Member: storedOtherAddress}
			value := state{Value: encodeView(t, storedFirstView), Sequence: 1, History: []ProposalNumber{proposalNumber}}
			expectLoaded(acceptors.bootstrap.acceptor, 1, acceptorState{promised: proposalNumber, accepted: acceptedState{ProposalNumber: proposalNumber, State: value}})
			next, found, err := acceptors.viewChange.Pending(replicaset.View{Version: 3})
			So(err, ShouldBeNil)
			So(found, ShouldBeTrue)
			So(next, ShouldResemble, storedNextView)
			proposalNumber = ProposalNumber{Counter: 5, Member: storedSelfAddress}
			value = state{Value: encodeView(t, storedNextView), Sequence: 1, History: []ProposalNumber{proposalNumber}}
			expectLoaded(acceptors.viewChange.acceptor, 3, acceptorState{promised: proposalNumber, accepted: acceptedState{ProposalNumber: proposalNumber, State: value}})
		})
		Convey("this build stores the same bytes, so that the earlier build can read them", func() {
			memory := storage.NewMemory()
			writeStoredRegisters(t, memory)
			So(dumpTables(memory.Snapshot()), ShouldEqual, string(golden))
		})
	})
}
