package register

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/transport"
)

// acceptorCaller calls acceptors in this process, and counts the bytes of the answers to reads and of the chunks that were
// fetched.
type acceptorCaller struct {
	acceptors       map[string]*Acceptor
	readAnswerBytes chan int
	accepted        chan struct{}
	fetchedBytes    int
}

// Call implements transport.Caller.
func (d *acceptorCaller) Call(ctx context.Context, address string, _ transport.Route, request, answer any) error {
	err := serveRequest(ctx, d.acceptors[address], request, answer)
	encoded, _ := msgpack.Marshal(answer)
	switch request.(type) {
	case acceptRequest:
		if answer.(*reply).Outcome == granted {
			d.accepted <- struct{}{}
		}
	case fetchRequest:
		d.fetchedBytes += len(encoded)
	case readRequest:
		d.readAnswerBytes <- len(encoded)
	}
	return err
}

// readBytes is how many bytes the answers to one read have, with the chunks that it fetches.
func (d *acceptorCaller) readBytes(reads func()) (sum int) {
	before := d.fetchedBytes
	reads()
	for range d.acceptors {
		sum += <-d.readAnswerBytes
	}
	return sum + d.fetchedBytes - before
}

func TestReadTransfersNoCachedState(t *testing.T) {
	const size = 90 << 10
	// A text of hex digits takes half of its length when packed, and the checksums of its chunks a hundredth.
	atLeast, atMost := size/2, size/2+size/5
	Convey("Given a register of 90 KB on three members", t, func() {
		view := replicaset.View{Version: 1, Members: []string{"a", "b", "c"}}
		current := func() replicaset.View { return view }
		d := &acceptorCaller{acceptors: make(map[string]*Acceptor), readAnswerBytes: make(chan int, 16), accepted: make(chan struct{}, 16)}
		for _, member := range view.Members {
			d.acceptors[member] = readyAcceptor(storage.NewMemory(), current)
		}
		writer := New(Config{Name: testRegister, Self: "outside", View: current, Caller: d})
		r := New(Config{Name: testRegister, Self: "reader", View: current, Caller: d})
		set := func(value string) string {
			_, err := writer.Change(context.Background(), replaceWith(value))
			So(err, ShouldBeNil)
			for range view.Members {
				<-d.accepted
			}
			return value
		}
		read := func(expected string) func() {
			return func() {
				got, err := r.Read(context.Background())
				So(err, ShouldBeNil)
				So(string(got) == expected, ShouldBeTrue)
			}
		}
		So(d.readBytes(read("")), ShouldBeLessThan, 1000)
		first := set(randomText(size, 1))
		So(d.readBytes(read(first)), ShouldBeBetween, atLeast, atMost) // once, though three members answer
		Convey("reading it again takes hardly anything", func() {
			So(d.readBytes(read(first)), ShouldBeLessThan, 1000)
		})
		Convey("after a change the new state is read, once", func() {
			second := set(randomText(size, 2))
			So(d.readBytes(read(second)), ShouldBeBetween, atLeast, atMost)
			So(d.readBytes(read(second)), ShouldBeLessThan, 1000)
		})
		Convey("after a small change only what is new is read", func() {
			second := set(first[:size/2] + "changed" + first[size/2:])
			So(d.readBytes(read(second)), ShouldBeLessThan, atLeast/4)
		})
		Convey("in another view a proposal number may stand for another state, so it is read anew", func() {
			view.Version = 2
			So(d.readBytes(read(first)), ShouldBeBetween, atLeast, atMost)
		})
	})
}
