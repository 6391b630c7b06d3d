package register

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// replaceWith returns a change function that sets the value regardless of the current one.
func replaceWith(value string) func([]byte) ([]byte, error) {
	return func([]byte) ([]byte, error) { return []byte(value), nil }
}

// randomText returns a text of random hexadecimal digits. It compresses to about half of its length and not much further.
func randomText(length int, seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 0))
	text := make([]byte, length)
	for i := range text {
		text[i] = "0123456789abcdef"[random.IntN(16)]
	}
	return string(text)
}

// largeTextBytes is the length of a text that is too large for the chunks in a single accept request.
const largeTextBytes = 300 << 10

// withInsertion returns the text with another text inserted in its middle.
func withInsertion(text, change string) string {
	return text[:len(text)/2] + change + text[len(text)/2:]
}

// noView returns the view of a process that does not know the members.
func noView() replicaset.View { return replicaset.View{} }

// readyAcceptor returns an acceptor of the test register that may vote.
func readyAcceptor(store storage.Store, view func() replicaset.View) *Acceptor {
	return NewAcceptor(AcceptorConfig{Name: testRegister, Store: store, Ready: func() bool { return true }, View: view})
}

// serveRequest handles a request with an acceptor in this process in the same way as a request from the network.
func serveRequest(ctx context.Context, acceptor *Acceptor, request, answer any) (err error) {
	switch typed := request.(type) {
	case prepareRequest:
		*answer.(*reply), err = acceptor.servePrepare(ctx, typed)
	case acceptRequest:
		if typed.ChunkedValue == nil {
			*answer.(*reply), err = acceptor.accept(ctx, typed)
		} else {
			*answer.(*reply), err = acceptor.serveAccept(ctx, typed)
		}
	case readRequest:
		*answer.(*reply), err = acceptor.serveRead(ctx, typed)
	case pushRequest:
		*answer.(*pushReply), err = acceptor.servePush(ctx, typed)
	case fetchRequest:
		*answer.(*fetchReply), err = acceptor.serveFetch(ctx, typed)
	default:
		panic(fmt.Sprintf("acceptors do not handle %T", request))
	}
	return err
}

// writeTables writes tables, for example the result of Merge, to a store.
func writeTables(store storage.Store, tables storage.Tables) {
	for table, content := range tables {
		for key, value := range content {
			convey.So(store.Write(storage.Change{Table: table, Key: key, Value: value}), convey.ShouldBeNil)
		}
	}
}
