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
	storedFolder   = "testdata/stored"
	updateVariable = "GOLDEN_UPDATE" // set to 1, the stored data is made anew
	storedSelf     = "10.0.0.1:7000"
	storedLeader   = "10.0.0.3:7000"
)

// storedTables are two groups and one that was only voted in, byte for byte.
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

// storedMeta is what the groups' replicas hold beside their states.
var storedMeta = map[string]meta{
	"jobs/render": {term: 0x102, votedFor: storedLeader, position: Position{Term: 0x102, Index: 7}},
	"jobs/mail":   {term: 9, votedFor: storedSelf, position: Position{Term: 5, Index: 1}},
	"jobs/voted":  {term: 1, votedFor: storedLeader},
}

// storedHandler leads nothing.
type storedHandler struct{}

func (storedHandler) Elected(*Term, map[string][]byte) {}
func (storedHandler) Deposed(*Term)                    {}

func openStored(t *testing.T, folder string) *storage.FileStore {
	store, _, err := storage.Open(storage.OSFileSystem{}, folder, storage.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { store.Close() })
	return store
}

func storedNode(t *testing.T, store storage.Store) *Node {
	node, err := NewNode(Config{
		Self: storedSelf, Store: store, Caller: networktest.New(1).Caller(storedSelf), Handler: storedHandler{},
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

// writeStoredGroups lets a replica vote and append, by the requests of other members.
func writeStoredGroups(t *testing.T, store storage.Store) {
	node := storedNode(t, store)
	vote := func(group string, term uint64, candidate string) {
		reply, err := serve(t.Context(), node, func(reply func(voteReply)) {
			node.core.requestVote(voteRequest{Group: group, Term: term, Candidate: candidate, Position: Position{Term: term}, View: 1}, reply)
		})
		if err != nil || !reply.Granted {
			t.Fatalf("vote in %s: %+v, %v", group, reply, err)
		}
	}
	appended := func(group string, position Position, entries ...Entry) {
		reply, err := serve(t.Context(), node, func(reply func(appendReply)) {
			node.core.append(appendRequest{Group: group, Term: position.Term, Leader: storedLeader, View: 1, Snapshot: true, Position: position, Entries: entries}, reply)
		})
		if err != nil || reply.Position != position {
			t.Fatalf("append in %s: %+v, %v", group, reply, err)
		}
	}
	vote("jobs/render", 0x102, storedLeader)
	appended("jobs/render", Position{0x102, 6}, Entry{"j/0", []byte("gone")})
	appended("jobs/render", Position{0x102, 7}, Entry{"j/1", []byte("one")}, Entry{"t/1/0.0.0", []byte{0x80}})
	appended("jobs/mail", Position{5, 1}, Entry{"j/2", []byte("two")})
	vote("jobs/voted", 1, storedLeader)
	// A vote for this member itself, once the lease of the other leader may have run out.
	if err := store.Write(termChanges("jobs/mail", 9, storedSelf)...); err != nil {
		t.Fatal(err)
	}
}

func TestReadsStoredDataOfGroups(t *testing.T) {
	if os.Getenv(updateVariable) == "1" {
		os.RemoveAll(storedFolder)
		writeStoredGroups(t, openStored(t, storedFolder))
	}
	Convey("Given groups that an earlier build stored", t, func() {
		folder := t.TempDir()
		So(os.CopyFS(folder, os.DirFS(storedFolder)), ShouldBeNil)
		store := openStored(t, folder)
		So(store.Snapshot(), ShouldResemble, storedTables)

		Convey("a node reads all of them", func() {
			core := storedNode(t, store).core
			So(len(core.groups), ShouldEqual, len(storedMeta))
			for name, want := range storedMeta {
				held := &core.groups[name].replica
				So(meta{held.currentTerm, held.votedFor, held.position}, ShouldResemble, want)
				So(held.durableTerm, ShouldEqual, want.term)
				So(maps.EqualFunc(held.state(), storedTables["group/"+name], bytes.Equal), ShouldBeTrue)
			}
			So(store.Snapshot(), ShouldResemble, storedTables)
		})
		Convey("this build writes the same, so that the earlier one can read it", func() {
			memory := storage.NewMemory()
			writeStoredGroups(t, memory)
			So(memory.Snapshot(), ShouldResemble, storedTables)
		})
	})
}
