package replication

import (
	"bytes"
	"maps"
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

const (
	storedDirectory = "testdata/stored"
	updateVariable  = "GOLDEN_UPDATE" // if set to 1, the test replaces the stored data
	storedSelf      = "10.0.0.1:7000"
	storedLeader    = "10.0.0.3:7000"
)

// storedTables is the expected content of the stored data: two groups with a state, and one in which the replica has only voted.
var storedTables = storage.Tables{
	"group-meta/jobs/render": {
		"promised":  {0, 0, 0, 0, 0, 0, 1, 2},
		"candidate": []byte(storedLeader),
		"position":  {0, 0, 0, 0, 0, 0, 1, 2, 0, 0, 0, 0, 0, 0, 0, 7},
	},
	"group/jobs/render": {"j/1": []byte("one"), "t/1/0.0.0": {0x80}},
	"group-meta/jobs/mail": {
		"promised":  {0, 0, 0, 0, 0, 0, 0, 9},
		"candidate": []byte(storedSelf),
		"position":  {0, 0, 0, 0, 0, 0, 0, 5, 0, 0, 0, 0, 0, 0, 0, 1},
	},
	"group/jobs/mail":       {"j/2": []byte("two")},
	"group-meta/jobs/voted": {"promised": {0, 0, 0, 0, 0, 0, 0, 1}, "candidate": []byte(storedLeader)},
}

// storedMeta is the expected metadata of each group's replica.
var storedMeta = map[string]meta{
	"jobs/render": {term: 0x102, votedFor: storedLeader, position: Position{Term: 0x102, Index: 7}},
	"jobs/mail":   {term: 9, votedFor: storedSelf, position: Position{Term: 5, Index: 1}},
	"jobs/voted":  {term: 1, votedFor: storedLeader},
}

// noOpHandler is a Handler that does nothing.
type noOpHandler struct{}

func (noOpHandler) Elected(*Term, map[string][]byte) {}
func (noOpHandler) Deposed(*Term)                    {}

func openStored(t *testing.T, directory string) *storage.FileStore {
	store, _, err := storage.Open(storage.OSFileSystem{}, directory, storage.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { store.Close() })
	return store
}

func newStoredNode(t *testing.T, store storage.Store) *Node {
	node, err := NewNode(Config{
		Self: storedSelf, Store: store, Caller: networktest.New(1).Caller(storedSelf), Handler: noOpHandler{},
		View: func() replicaset.View {
			return replicaset.View{Version: 1, Members: []string{storedSelf, storedLeader}}
		},
		Ready: func() bool { return true },
	})
	if err != nil {
		t.Fatal(err)
	}
	return node
}

// writeStoredGroups writes the groups of storedTables to a store, with vote and append requests of other members.
func writeStoredGroups(t *testing.T, store storage.Store) {
	node := newStoredNode(t, store)
	vote := func(group string, term uint64, candidate string) {
		reply, err := serve(t.Context(), node, func(reply func(voteReply)) {
			node.core.requestVote(voteRequest{Group: group, Term: term, Candidate: candidate, Position: Position{Term: term}, View: 1}, reply)
		})
		if err != nil || !reply.Granted {
			t.Fatalf("vote in %s: %+v, %v", group, reply, err)
		}
	}
	appendSnapshot := func(group string, position Position, entries ...Entry) {
		reply, err := serve(t.Context(), node, func(reply func(appendReply)) {
			node.core.append(appendRequest{Group: group, Term: position.Term, Leader: storedLeader, View: 1, Snapshot: true, Position: position, Entries: entries}, reply)
		})
		if err != nil || reply.Position != position {
			t.Fatalf("append in %s: %+v, %v", group, reply, err)
		}
	}
	vote("jobs/render", 0x102, storedLeader)
	appendSnapshot("jobs/render", Position{0x102, 6}, Entry{"j/0", []byte("gone")})
	appendSnapshot("jobs/render", Position{0x102, 7}, Entry{"j/1", []byte("one")}, Entry{"t/1/0.0.0", []byte{0x80}})
	appendSnapshot("jobs/mail", Position{5, 1}, Entry{"j/2", []byte("two")})
	vote("jobs/voted", 1, storedLeader)
	// A vote for this member itself, as after the other leader's lease has expired.
	if err := store.Write(termChanges("jobs/mail", 9, storedSelf)...); err != nil {
		t.Fatal(err)
	}
}

func TestReadsStoredDataOfGroups(t *testing.T) {
	if os.Getenv(updateVariable) == "1" {
		os.RemoveAll(storedDirectory)
		writeStoredGroups(t, openStored(t, storedDirectory))
	}
	Convey("Given groups stored by an earlier build", t, func() {
		directory := t.TempDir()
		So(os.CopyFS(directory, os.DirFS(storedDirectory)), ShouldBeNil)
		store := openStored(t, directory)
		So(store.Snapshot(), ShouldResemble, storedTables)

		Convey("a node reads all groups", func() {
			core := newStoredNode(t, store).core
			So(len(core.groups), ShouldEqual, len(storedMeta))
			for name, want := range storedMeta {
				stored := &core.groups[name].replica
				So(meta{stored.currentTerm, stored.votedFor, stored.position}, ShouldResemble, want)
				So(stored.durableTerm, ShouldEqual, want.term)
				So(maps.EqualFunc(stored.state(), storedTables["group/"+name], bytes.Equal), ShouldBeTrue)
			}
			So(store.Snapshot(), ShouldResemble, storedTables)
		})
		Convey("this build writes the same data, so that the earlier build can read it", func() {
			memory := storage.NewMemory()
			writeStoredGroups(t, memory)
			So(memory.Snapshot(), ShouldResemble, storedTables)
		})
	})
}
