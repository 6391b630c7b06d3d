package register

import (
	"bytes"
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/transport"
)

// direct calls acceptors in this process, and counts the bytes of their answers.
type direct struct {
	acceptors map[string]*Acceptor
	answered  chan int
	accepted  chan struct{}
}

// Call implements transport.Caller.
func (d *direct) Call(ctx context.Context, address string, _ transport.Route, request, answer any) error {
	var result reply
	var err error
	switch asked := request.(type) {
	case prepareRequest:
		result, err = d.acceptors[address].prepare(ctx, asked)
	case acceptRequest:
		result, err = d.acceptors[address].accept(ctx, asked)
		d.accepted <- struct{}{}
	case readRequest:
		result, err = d.acceptors[address].read(ctx, asked)
		encoded, _ := msgpack.Marshal(result)
		d.answered <- len(encoded)
	}
	*answer.(*reply) = result
	return err
}

// readBytes is how many bytes the answers to one read have.
func (d *direct) readBytes(reads func()) (sum int) {
	reads()
	for range d.acceptors {
		sum += <-d.answered
	}
	return sum
}

func TestAReadCarriesNoStateThatIsKnown(t *testing.T) {
	Convey("Given a register of 90 KB on three members", t, func() {
		view := replicaset.View{Version: 1, Members: []string{"a", "b", "c"}}
		current := func() replicaset.View { return view }
		d := &direct{acceptors: make(map[string]*Acceptor), answered: make(chan int, 16), accepted: make(chan struct{}, 16)}
		for _, member := range view.Members {
			d.acceptors[member] = NewAcceptor(AcceptorConfig{
				Name: "test", Store: storage.NewMemory(), Ready: func() bool { return true }, View: current,
			})
		}
		r := New(Config{Name: "test", Self: "outside", View: current, Caller: d})
		set := func(content byte) []byte {
			value := bytes.Repeat([]byte{content}, 90<<10)
			_, err := r.Change(context.Background(), func([]byte) ([]byte, error) { return value, nil })
			So(err, ShouldBeNil)
			for range view.Members {
				<-d.accepted
			}
			return value
		}
		read := func(want []byte) func() {
			return func() {
				got, err := r.Read(context.Background())
				So(err, ShouldBeNil)
				So(bytes.Equal(got, want), ShouldBeTrue)
			}
		}
		So(d.readBytes(read(nil)), ShouldBeLessThan, 1000)
		first := set(1)
		So(d.readBytes(read(first)), ShouldBeGreaterThan, 3*90<<10)
		Convey("reading it again takes hardly anything", func() {
			So(d.readBytes(read(first)), ShouldBeLessThan, 1000)
		})
		Convey("after a change the new state is read, once", func() {
			second := set(2)
			So(d.readBytes(read(second)), ShouldBeGreaterThan, 3*90<<10)
			So(d.readBytes(read(second)), ShouldBeLessThan, 1000)
		})
		Convey("in another view a ballot may stand for another state, so it is read anew", func() {
			view.Version = 2
			So(d.readBytes(read(first)), ShouldBeGreaterThan, 3*90<<10)
		})
	})
}
