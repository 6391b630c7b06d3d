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

// acceptorCaller calls acceptors in the same process. It counts the bytes of replies to reads and of fetched chunks.
type acceptorCaller struct {
	acceptors      map[string]*Acceptor
	readReplyBytes chan int
	acceptGranted  chan struct{}
	fetchedBytes   int
}

// Call implements transport.Caller.
func (c *acceptorCaller) Call(ctx context.Context, address string, _ transport.Route, request, answer any) error {
	err := serveRequest(ctx, c.acceptors[address], request, answer)
	encoded, _ := msgpack.Marshal(answer)
	switch request.(type) {
	case acceptRequest:
		if answer.(*reply).Outcome == granted {
			c.acceptGranted <- struct{}{}
		}
	case fetchRequest:
		c.fetchedBytes += len(encoded)
	case readRequest:
		c.readReplyBytes <- len(encoded)
	}
	return err
}

// countReadBytes returns the total length of the replies to one read and of the chunks that it fetches.
func (c *acceptorCaller) countReadBytes(read func()) (sum int) {
	before := c.fetchedBytes
	read()
	for range c.acceptors {
		sum += <-c.readReplyBytes
	}
	return sum + c.fetchedBytes - before
}

func TestReadTransfersNoCachedState(t *testing.T) {
	const valueBytes = 90 << 10
	// A text of hexadecimal digits is packed to half of its length. The checksums of its chunks add about a hundredth.
	minPackedBytes, maxPackedBytes := valueBytes/2, valueBytes/2+valueBytes/5
	Convey("Given a register of 90 KB on three members", t, func() {
		view := replicaset.View{Version: 1, Members: []string{"a", "b", "c"}}
		current := func() replicaset.View { return view }
		caller := &acceptorCaller{acceptors: make(map[string]*Acceptor), readReplyBytes: make(chan int, 16), acceptGranted: make(chan struct{}, 16)}
		for _, member := range view.Members {
			caller.acceptors[member] = readyAcceptor(storage.NewMemory(), current)
		}
		writer := New(Config{Name: testRegister, Self: "outside", View: current, Caller: caller})
		reader := New(Config{Name: testRegister, Self: "reader", View: current, Caller: caller})
		set := func(value string) string {
			_, err := writer.Change(context.Background(), replaceWith(value))
			So(err, ShouldBeNil)
			for range view.Members {
				<-caller.acceptGranted
			}
			return value
		}
		read := func(expected string) func() {
			return func() {
				got, err := reader.Read(context.Background())
				So(err, ShouldBeNil)
				So(string(got) == expected, ShouldBeTrue)
			}
		}
		So(caller.countReadBytes(read("")), ShouldBeLessThan, 1000)
		first := set(randomText(valueBytes, 1))
		So(caller.countReadBytes(read(first)), ShouldBeBetween, minPackedBytes, maxPackedBytes) // transferred once, although three members reply
		Convey("reading it again transfers no value", func() {
			So(caller.countReadBytes(read(first)), ShouldBeLessThan, 1000)
		})
		Convey("after a change the new value is transferred once", func() {
			second := set(randomText(valueBytes, 2))
			So(caller.countReadBytes(read(second)), ShouldBeBetween, minPackedBytes, maxPackedBytes)
			So(caller.countReadBytes(read(second)), ShouldBeLessThan, 1000)
		})
		Convey("after a small change only the changed chunks are transferred", func() {
			second := set(first[:valueBytes/2] + "changed" + first[valueBytes/2:])
			So(caller.countReadBytes(read(second)), ShouldBeLessThan, minPackedBytes/4)
		})
		Convey("in another view the same proposal number may identify another state, so the value is transferred again", func() {
			view.Version = 2
			So(caller.countReadBytes(read(first)), ShouldBeBetween, minPackedBytes, maxPackedBytes)
		})
	})
}
