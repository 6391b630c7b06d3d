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

// fileMembers are acceptors on real files.
type fileMembers struct {
	view   replicaset.View
	stores map[string]*storage.FileStore
	caller memberCaller
	folder string
}

// memberCaller calls acceptors in this process. Those that are down answer with an error.
type memberCaller struct {
	acceptors map[string]*Acceptor
	down      map[string]bool
}

func newFileMembers(folder string, size int) *fileMembers {
	m := &fileMembers{view: replicaset.View{Version: 1}, folder: folder}
	for i := range size {
		m.view.Members = append(m.view.Members, fmt.Sprintf("member-%d", i))
	}
	m.start(nil)
	return m
}

// start opens the files of all members; those of the lost disks, by member, are in another, empty folder.
func (m *fileMembers) start(lost map[string]string) {
	m.caller = memberCaller{acceptors: make(map[string]*Acceptor), down: make(map[string]bool)}
	m.stores = make(map[string]*storage.FileStore)
	for _, member := range m.view.Members {
		folder := filepath.Join(m.folder, member)
		if other, isLost := lost[member]; isLost {
			folder = filepath.Join(m.folder, other)
		}
		store, _, err := storage.Open(unsyncedFileSystem{}, folder, storage.Options{})
		So(err, ShouldBeNil)
		m.stores[member] = store
		m.caller.acceptors[member] = readyAcceptor(store, func() replicaset.View { return m.view })
	}
}

// rebuild gives a member that lost its disk the merged tables of so many others that every majority has one of them.
func (m *fileMembers) rebuild(member string, lost map[string]string) {
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

func (m *fileMembers) register() *Register {
	return New(Config{Name: testRegister, Self: "operator", View: func() replicaset.View { return m.view }, Caller: m.caller})
}

// Two disks are lost at the moment of an acknowledgement that rests on the smallest majority, both of them among it, and all
// processes are killed at that moment.
func TestAcknowledgedValueSurvivesTwoLostDisksAndPowerLoss(t *testing.T) {
	text := randomText(3*inlineValueBytes, 1)
	for _, size := range []int{5, 9} {
		for second := 1; second < (size+1)/2; second++ {
			Convey(fmt.Sprintf("What %d members have acknowledged is read without disks 0 and %d and with nothing in memory", size, second), t, func() {
				members := newFileMembers(t.TempDir(), size)
				for _, member := range members.view.Members[(size+1)/2:] {
					members.caller.down[member] = true
				}
				_, err := members.register().Change(context.Background(), replaceBy(text))
				So(err, ShouldBeNil)
				for _, store := range members.stores {
					So(store.Close(), ShouldBeNil)
				}
				lost := map[string]string{"member-0": "empty-0", fmt.Sprintf("member-%d", second): "empty-1"}
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
