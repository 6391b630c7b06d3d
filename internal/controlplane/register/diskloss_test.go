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

// memberCaller calls acceptors in this process, until they are started again. Those that are down answer nothing.
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

// start opens the files of all members anew; those of the lost disks, given by member, are in an empty folder.
func (m *fileMembers) start(lost map[string]string) {
	m.caller = memberCaller{acceptors: make(map[string]*Acceptor), down: make(map[string]bool)}
	m.stores = make(map[string]*storage.FileStore)
	for _, member := range m.view.Members {
		folder := filepath.Join(m.folder, member)
		if other, is := lost[member]; is {
			folder = filepath.Join(m.folder, other)
		}
		store, _, err := storage.Open(unsyncedFileSystem{}, folder, storage.Options{})
		So(err, ShouldBeNil)
		m.stores[member] = store
		m.caller.acceptors[member] = NewAcceptor(AcceptorConfig{
			Name: testRegister, Store: store, Ready: func() bool { return true }, View: func() replicaset.View { return m.view },
		})
	}
}

// rebuild gives a member that lost its disk what as many others hold as meet each majority.
func (m *fileMembers) rebuild(member string, lost map[string]string) {
	var copies []storage.Tables
	for _, other := range m.view.Members {
		if _, is := lost[other]; !is && len(copies) < len(m.view.Members)-m.view.Quorum()+1 {
			copies = append(copies, m.stores[other].Snapshot())
		}
	}
	merged, err := Merge(copies)
	So(err, ShouldBeNil)
	for table, content := range merged {
		for key, value := range content {
			So(m.stores[member].Write(storage.Change{Table: table, Key: key, Value: value}), ShouldBeNil)
		}
	}
}

// Call implements transport.Caller.
func (l memberCaller) Call(ctx context.Context, address string, _ transport.Route, request, answer any) (err error) {
	if l.down[address] {
		return errMemberDown
	}
	acceptor := l.acceptors[address]
	switch asked := request.(type) {
	case prepareRequest:
		*answer.(*reply), err = acceptor.servePrepare(ctx, asked)
	case acceptRequest:
		*answer.(*reply), err = serveAnyAccept(ctx, acceptor, asked)
	case readRequest:
		*answer.(*reply), err = acceptor.serveRead(ctx, asked)
	case pushRequest:
		*answer.(*pushReply), err = acceptor.servePush(ctx, asked)
	case fetchRequest:
		*answer.(*fetchReply), err = acceptor.serveFetch(ctx, asked)
	}
	return err
}

func (m *fileMembers) register() *Register {
	return New(Config{Name: testRegister, Self: "operator", View: func() replicaset.View { return m.view }, Caller: m.caller})
}

// Two disks are lost at the moment of an acknowledgement that rests on the smallest majority, both of them among it, and
// all processes end at that moment.
func TestAcknowledgedValueSurvivesTwoLostDisksAndPowerLoss(t *testing.T) {
	text := randomText(3*inlineValueBytes, 1)
	for _, size := range []int{5, 9} {
		for second := 1; second < (size+1)/2; second++ {
			Convey(fmt.Sprintf("What %d members have acknowledged stands without disks 0 and %d and with nothing in memory", size, second), t, func() {
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
