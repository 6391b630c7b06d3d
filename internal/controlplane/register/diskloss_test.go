package register

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/transport"
)

var errMemberDown = errors.New("the member is down")

// fileCluster is a set of acceptors that store their votes in files on disk.
type fileCluster struct {
	view      replicaset.View
	stores    map[string]*storage.FileStore
	caller    memberCaller
	directory string
}

// memberCaller calls acceptors in this process. Calls to members that are down fail.
type memberCaller struct {
	acceptors map[string]*Acceptor
	down      map[string]bool
}

// newFileCluster returns a running cluster with the given number of members.
func newFileCluster(folder string, size int) *fileCluster {
	m := &fileCluster{view: replicaset.View{Version: 1}, directory: folder}
	for i := range size {
		m.view.Members = append(m.view.Members, fmt.Sprintf("member-%d", i))
	}
	m.start(nil)
	return m
}

// start opens the files of all members. The map lost contains the members that lost their disk and the name of the empty
// directory that each of them uses instead.
func (m *fileCluster) start(lost map[string]string) {
	m.caller = memberCaller{acceptors: make(map[string]*Acceptor), down: make(map[string]bool)}
	m.stores = make(map[string]*storage.FileStore)
	for _, member := range m.view.Members {
		folder := filepath.Join(m.directory, member)
		if replacement, isLost := lost[member]; isLost {
			folder = filepath.Join(m.directory, replacement)
		}
		store, _, err := storage.Open(unsyncedFileSystem{}, folder, storage.Options{})
		So(err, ShouldBeNil)
		m.stores[member] = store
		m.caller.acceptors[member] = readyAcceptor(store, func() replicaset.View { return m.view })
	}
}

// rebuild writes merged tables of other members to a member that lost its disk. It merges as many members as are needed to
// share a member with every majority.
func (m *fileCluster) rebuild(member string, lost map[string]string) {
	var copies []storage.Tables
	for _, other := range m.view.Members {
		if _, isLost := lost[other]; !isLost && len(copies) < len(m.view.Members)-m.view.Quorum()+1 {
			copies = append(copies, m.stores[other].Snapshot())
		}
	}
	merged, err := Merge(copies)
	So(err, ShouldBeNil)
	writeTables(m.stores[member], merged)
}

// Call implements transport.Caller.
func (c memberCaller) Call(ctx context.Context, address string, _ transport.Route, request, answer any) error {
	if c.down[address] {
		return errMemberDown
	}
	return serveRequest(ctx, c.acceptors[address], request, answer)
}

// register returns a proposer that is not a member.
func (m *fileCluster) register() *Register {
	return New(Config{Name: testRegister, Self: "operator", View: func() replicaset.View { return m.view }, Caller: m.caller})
}

// The smallest possible majority acknowledges a change. Immediately afterwards, all members restart and two members of
// this majority lose their disks. The acknowledged value must survive.
func TestAcknowledgedValueSurvivesTwoLostDisksAndRestart(t *testing.T) {
	text := randomText(3*inlineValueBytes, 1)
	for _, size := range []int{5, 9} {
		for secondLost := 1; secondLost < (size+1)/2; secondLost++ {
			Convey(fmt.Sprintf("A value acknowledged by a majority of %d members is read after a restart without disks 0 and %d", size, secondLost), t, func() {
				members := newFileCluster(t.TempDir(), size)
				for _, member := range members.view.Members[(size+1)/2:] {
					members.caller.down[member] = true
				}
				_, err := members.register().Change(context.Background(), replaceWith(text))
				So(err, ShouldBeNil)
				for _, store := range members.stores {
					So(store.Close(), ShouldBeNil)
				}
				lost := map[string]string{"member-0": "empty-0", fmt.Sprintf("member-%d", secondLost): "empty-1"}
				members.start(lost)
				for member := range lost {
					members.rebuild(member, lost)
				}
				read, err := members.register().Read(context.Background())
				So(err, ShouldBeNil)
				So(string(read) == text, ShouldBeTrue)
				for _, store := range members.stores {
					store.Close()
				}
			})
		}
	}
}
