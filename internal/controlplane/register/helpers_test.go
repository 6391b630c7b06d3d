package register

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// replaceBy is a change that sets the value, whatever it was.
func replaceBy(value string) func([]byte) ([]byte, error) {
	return func([]byte) ([]byte, error) { return []byte(value), nil }
}

// randomText is a text of hex digits, so that it hardly compresses below half of its length.
func randomText(length int, seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 0))
	text := make([]byte, length)
	for i := range text {
		text[i] = "0123456789abcdef"[random.IntN(16)]
	}
	return string(text)
}

// largeText is a length above what an accept request carries by itself.
const largeText = 300 << 10

// edited is a text with a small change in its middle.
func edited(text, change string) string { return text[:len(text)/2] + change + text[len(text)/2:] }

// noView is the view of a process that knows no members.
func noView() replicaset.View { return replicaset.View{} }

// readyAcceptor makes an acceptor of the test register that may vote.
func readyAcceptor(store storage.Store, view func() replicaset.View) *Acceptor {
	return NewAcceptor(AcceptorConfig{Name: testRegister, Store: store, Ready: func() bool { return true }, View: view})
}

// serveRequest lets an acceptor in this process serve a request as it serves those from the network.
func serveRequest(ctx context.Context, acceptor *Acceptor, request, answer any) (err error) {
	switch typed := request.(type) {
	case prepareRequest:
		*answer.(*reply), err = acceptor.servePrepare(ctx, typed)
	case acceptRequest:
		if typed.Content == nil {
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
		panic(fmt.Sprintf("no acceptor serves a %T", request))
	}
	return err
}

// writeTables writes tables, such as those of Merge, to a store.
func writeTables(store storage.Store, tables storage.Tables) {
	for table, content := range tables {
		for key, value := range content {
			convey.So(store.Write(storage.Change{Table: table, Key: key, Value: value}), convey.ShouldBeNil)
		}
	}
}
